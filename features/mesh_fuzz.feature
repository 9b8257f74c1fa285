Feature: Bytes without sense from callers
  Requests with odd methods, paths, fields and bodies, made from a fixed seed.

  # Guards against bytes that end the process, or are never answered.
  Scenario: Every connection is answered or closed, and others are served
    Given a mesh daemon with an idle time of 1000 ms
    When 400 connections send bytes without sense
    Then each is answered or closed within 4000 ms
    And a whole request is still answered with 200
