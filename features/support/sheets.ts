/** Valid and faulty sheets as planners' programs export them. */

const NARROW = '\u202f';

/** The same two customers in four formats. */
export const EXPORTED_SHEETS: Readonly<Record<string, Buffer>> = {
  'UTF-8 with BOM, semicolons, CRLF, decimal comma': Buffer.from(
    [
      '\uFEFFkind;id;name;ratePerSecond;burst;;',
      'customer;can-tho;Công ty Cần Thơ;1.234,5;2.000;;',
      'customer;gaspe;"Caisse de Gaspé";2500,00;30;;',
      '',
    ].join('\r\n'),
  ),
  'UTF-8, tabs, decomposed letters, narrow no-break spaces': Buffer.from(
    [
      'kind\tid\tname\tratePerSecond\tburst',
      `customer\tcan-tho\tCông ty Cần Thơ\t1${NARROW}234,5\t2\u00a0000`,
      `customer\tgaspe\tCaisse de Gaspé\t2${NARROW}500\t30`,
    ]
      .join('\n')
      .normalize('NFD'),
  ),
  'UTF-8, commas, quoted numbers, points as decimals': Buffer.from(
    [
      'kind,id,name,ratePerSecond,burst',
      'customer,can-tho,Công ty Cần Thơ,"1,234.5",2000',
      'customer,gaspe,Caisse de Gaspé,2500.0,30',
    ].join('\n'),
  ),
  'UTF-16, tabs, columns in other order and case': Buffer.from(
    [
      '\uFEFFID\tKind\tRate per second\tBURST\tName',
      'can-tho\tCustomer\t1234,5\t2000\tCông ty Cần Thơ',
      'gaspe\tcustomer\t2500\t30\tCaisse de Gaspé',
    ].join('\r\n'),
    'utf16le',
  ),
};

/**
 * Each row after the first customer has one fault. The name in row 6, counting
 * the header, contains a line break.
 */
export const FAULTY_SHEET = Buffer.from(
  [
    'kind;id;name;ratePerSecond;burst;path;service',
    'customer;can-tho;Cần Thơ;50;20;;',
    'customer;a;A;a lot;20;;',
    'customer;b;B;50;2,5;;',
    'customer;c c;C;50;20;;',
    'customer;can-tho;"Cần\r\nThơ";50;20;;',
    'client;d;D;50;20;;',
    'customer;e;E;50;20;/e;',
    'customer;f;F;50;20;;;x',
    'route;g;;;;/g;nowhere',
  ].join('\r\n'),
);

/** A sheet with customers `c-1` to `c-COUNT`. */
export function sheetWith(count: number): Buffer {
  const rows = Array.from(
    {length: count},
    (_, i) => `customer;c-${i + 1};Công ty ${i + 1};${(i % 90) + 10},5;20`,
  );
  const text = ['kind;id;name;ratePerSecond;burst', ...rows].join('\r\n');
  return Buffer.from(`\uFEFF${text}\r\n`);
}
