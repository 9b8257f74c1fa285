/**
 * Bundles the program and the stand-ins into dist/. With --binary it also
 * makes the single executable; with --mutant NAME it bundles the program
 * with the modules of features/mutants/NAME put in place of the real ones;
 * with --platform it only bundles one daemon for the platform, into target/;
 * with --platform --list it prints what that bundle would contain.
 */
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import {chmod, copyFile, readdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {build} from 'esbuild';

const root = path.resolve(import.meta.dirname, '..');
const dist = path.join(root, 'dist');

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  external: ['unix-dgram', 'bufferutil', 'utf-8-validate'],
  define: {'import.meta.url': '__bundleUrl'},
  banner: {
    js: "const __bundleUrl = require('node:url').pathToFileURL(__filename).href;",
  },
};

/** Puts a mutant's file in the place of the source file of the same path. */
function mutantPlugin(name) {
  const folder = path.join(root, 'features', 'mutants', name);
  return {
    name: 'mutant',
    setup({onLoad}) {
      onLoad({filter: /src\/.*\.ts$/}, async args => {
        const file = path.join(folder, path.relative(root, args.path));
        if (!existsSync(file)) return undefined;
        const {readFile} = await import('node:fs/promises');
        return {
          contents: await readFile(file, 'utf8'),
          loader: 'ts',
          resolveDir: path.dirname(args.path),
        };
      });
    },
  };
}

async function bundleProgram() {
  await build({
    ...common,
    entryPoints: [path.join(root, 'src/main.ts')],
    outfile: path.join(dist, 'chicorycourse.cjs'),
  });
}

/**
 * Modules that the platform's build contains only in part, since all of them
 * would double the time to start a daemon.
 */
const REPLACED_MODULES = {
  undici: path.join(root, 'scripts/undici_pool.cjs'),
  'prom-client': path.join(root, 'scripts/prom_metrics.cjs'),
  // Without the search for a native part, which no bundle contains.
  msgpackr: path.join(root, 'node_modules/msgpackr/index.js'),
};

const replaceModulesPlugin = {
  name: 'replace-modules',
  setup({onResolve}) {
    Object.entries(REPLACED_MODULES).forEach(([name, file]) =>
      onResolve({filter: new RegExp(`^${name}$`)}, () => ({path: file})),
    );
  },
};

const platformBundle = {
  ...common,
  entryPoints: [path.join(root, 'platform/main.ts')],
  outfile: path.join(root, 'target/daemon.cjs'),
  minify: true,
  keepNames: true,
  plugins: [replaceModulesPlugin],
};

async function bundleForPlatform() {
  await build(platformBundle);
}

/** Prints the packages in the platform's build, with bytes; writes no file. */
async function listForPlatform() {
  const {metafile} = await build({
    ...platformBundle,
    metafile: true,
    write: false,
  });
  const [{inputs}] = Object.values(metafile.outputs);
  const bytesByPackage = {};
  Object.entries(inputs).forEach(([file, {bytesInOutput}]) => {
    const [, name] = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(file) ?? [];
    const key = name ?? '(own code)';
    bytesByPackage[key] = (bytesByPackage[key] ?? 0) + bytesInOutput;
  });
  console.log(JSON.stringify(bytesByPackage));
}

async function bundleMutant(name) {
  await build({
    ...common,
    entryPoints: [path.join(root, 'src/main.ts')],
    outfile: path.join(dist, 'mutants', `${name}.cjs`),
    plugins: [mutantPlugin(name)],
  });
}

async function bundleMutants() {
  const folder = path.join(root, 'features', 'mutants');
  const names = existsSync(folder) ? await readdir(folder) : [];
  await Promise.all(names.map(bundleMutant));
}

async function bundleFolder(folder) {
  if (!existsSync(path.join(root, folder))) return;
  const files = await readdir(path.join(root, folder));
  const entryPoints = files
    .filter(file => file.endsWith('.ts'))
    .map(file => path.join(root, folder, file));
  if (entryPoints.length === 0) return;
  const outdir = path.join(dist, folder);
  await build({...common, entryPoints, outdir, outExtension: {'.js': '.cjs'}});
}

async function makeBinary() {
  const config = path.join(dist, 'sea.json');
  const blob = path.join(dist, 'sea.blob');
  const binary = path.join(dist, 'chicorycourse');
  await writeFile(
    config,
    JSON.stringify({
      main: path.join(dist, 'chicorycourse.cjs'),
      output: blob,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', config]);
  await copyFile(process.execPath, binary);
  await chmod(binary, 0o755);
  execFileSync(
    path.join(root, 'node_modules/.bin/postject'),
    [
      binary,
      'NODE_SEA_BLOB',
      blob,
      '--sentinel-fuse',
      'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
    ],
    {stdio: 'ignore'},
  );
}

const mutantIndex = process.argv.indexOf('--mutant');
if (process.argv.includes('--list')) {
  await listForPlatform();
} else if (process.argv.includes('--platform')) {
  await bundleForPlatform();
} else if (mutantIndex > 0) {
  await bundleMutant(process.argv[mutantIndex + 1]);
} else {
  await bundleProgram();
  await bundleFolder('standins');
  await bundleFolder('bench');
  if (process.argv.includes('--mutants')) await bundleMutants();
  if (process.argv.includes('--binary')) await makeBinary();
}
