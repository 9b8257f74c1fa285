Feature: Specifications
  Each core protocol has a small specification. Every reachable state is
  visited; with a safety rule left out, an unsafe state must be found.

  Scenario: Configuration order is safe
    When "configuration order" is explored
    Then no state is unsafe

  Scenario Outline: Configuration order needs each of its rules
    When "configuration order" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule        |
      | onlyForward |
      | compare     |

  Scenario: Ejection keeps the floor
    When "ejection floor" is explored
    Then no state is unsafe

  Scenario Outline: The floor needs each of its rules
    When "ejection floor" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule           |
      | permitNeeded   |
      | countFromAsk   |
      | countPermits   |
      | vouchNeeded    |
      | waitAfterMove  |
      | waitAfterStart |

  Scenario: Configuration in force is safe
    When "configuration in force" is explored
    Then no state is unsafe

  Scenario Outline: Configuration in force needs each of its rules
    When "configuration in force" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule        |
      | vouchedOnly |
      | floor       |

  Scenario: The escrow of rates is safe
    When "escrow" is explored
    Then no state is unsafe

  Scenario Outline: The escrow of rates needs each of its rules
    When "escrow" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule               |
      | deductBeforeSend   |
      | countLent          |
      | expireLoans        |
      | closedAfterRestart |
      | emptyAfterRestart  |
      | takeOnce           |
      | vouchNeeded        |
      | vouchFromSend      |
      | shrinkBeforeGrow   |

  Scenario: Tokens for repeats are safe
    When "repeat tokens" is explored
    Then no state is unsafe

  Scenario Outline: Tokens for repeats need each of their rules
    When "repeat tokens" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule            |
      | deductBeforePay |
      | ownPart         |
      | expire          |
      | ageFromMaking   |

  Scenario: Quarantine of deadly requests is safe
    When "quarantine" is explored
    Then no state is unsafe

  Scenario Outline: Quarantine of deadly requests needs each of its rules
    When "quarantine" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule              |
      | shareEnds         |
      | addUp             |
      | exchangeOnConnect |
      | learnAtStart      |
      | countOnce         |

  Scenario: At most once is safe
    When "at most once" is explored
    Then no state is unsafe

  Scenario Outline: At most once needs each of its rules
    When "at most once" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule          |
      | claimBoth     |
      | memory        |
      | silence       |
      | confirm       |
      | releaseNotRun |

  Scenario: Vouches of witnesses are safe
    When "witnesses" is explored
    Then no state is unsafe

  Scenario Outline: Vouches of witnesses need each of their rules
    When "witnesses" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule                |
      | recoverFirst        |
      | freshRead           |
      | recoverFromMajority |
      | askRecovered        |
      | waitForOpenCalls    |
      | vouchByMajority     |

  Scenario: Evacuations are safe
    When "evacuation" is explored
    Then no state is unsafe

  Scenario Outline: Evacuations need each of their rules
    When "evacuation" is explored without the rule "<rule>"
    Then an unsafe state is found

    Examples:
      | rule          |
      | readFirst     |
      | checkUse      |
      | replaceByRead |
      | readAfterLoss |
