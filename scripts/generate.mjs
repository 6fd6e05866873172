/** Generates src/generated and the reference pages of events and metrics in docs/ from schema/. */
import { execFileSync } from 'node:child_process';
import process from 'node:process';
import { readFileSync, rmSync, writeFileSync, mkdirSync } from 'node:fs';
import Ajv from 'ajv';
import standaloneCode from 'ajv/dist/standalone/index.js';
import { compile } from 'json-schema-to-typescript';
import { buildSync } from 'esbuild';
import { format, resolveConfig } from 'prettier';

const { default: AjvClass } = Ajv;
const readJson = (path) => JSON.parse(readFileSync(path, 'utf8'));

async function writeFormatted(path, text) {
  const options = (await resolveConfig(path)) ?? {};
  writeFileSync(path, await format(text, { ...options, filepath: path }));
}

function generateMessages() {
  execFileSync('node_modules/.bin/buf', ['generate'], { stdio: 'inherit' });
}

async function generateSchemaTypes() {
  const parts = [];
  for (const name of ['settings', 'ticket']) {
    const schema = readJson(`schema/${name}.schema.json`);
    parts.push(
      await compile(schema, schema.title, { bannerComment: '', additionalProperties: false }),
    );
  }
  await writeFormatted('src/generated/schemas.ts', parts.join('\n'));
}

async function generateValidators() {
  const ajv = new AjvClass({ allErrors: true, code: { source: true, esm: true } });
  ajv.addSchema(readJson('schema/settings.schema.json'));
  ajv.addSchema(readJson('schema/ticket.schema.json'));
  const code = standaloneCode.default(ajv, { isSettings: 'settings', isTicket: 'ticket' });
  const bundled = buildSync({
    stdin: { contents: code, resolveDir: process.cwd(), loader: 'js' },
    bundle: true,
    format: 'esm',
    platform: 'node',
    write: false,
  });
  await writeFormatted('src/generated/validators.js', bundled.outputFiles[0].text);
  const types = `
    export interface SchemaProblem { instancePath: string; keyword: string; message?: string; params: Record<string, unknown> }
    export interface Validator { (data: unknown): boolean; errors?: SchemaProblem[] | null }
    export const isSettings: Validator;
    export const isTicket: Validator;
  `;
  await writeFormatted('src/generated/validators.d.ts', types);
}

async function generateEvents() {
  const events = readJson('schema/events.json');
  const lines = events.map(
    (event) =>
      `${event.name}: { code: ${event.code}, level: '${event.level}', text: ${JSON.stringify(event.text)} },`,
  );
  const fields = events.map((event) => {
    const members = event.fields.map((field) => `${field}: string | number`).join('; ');
    return `${event.name}: { ${members} };`;
  });
  const source = `/** Log events; generated from schema/events.json. */
export const events = {\n${lines.join('\n')}\n} as const;\n
/** Fields of each log event. */
export interface EventFields {\n${fields.join('\n')}\n}\n`;
  await writeFormatted('src/generated/events.ts', source);
  const rows = events.map(
    (event) =>
      `| ${event.code} | ${event.name} | ${event.level} | ${event.text} | ${event.fields.join(', ')} |`,
  );
  await writeFormatted(
    'docs/EVENTS.md',
    `# Log events\n\nGenerated from schema/events.json. Each log line is one JSON object with \`time\`, \`code\`, \`event\`, \`level\`, \`id\` and the event's fields.\n\n| code | event | level | meaning | fields |\n| --- | --- | --- | --- | --- |\n${rows.join('\n')}\n`,
  );
}

async function generateMetrics() {
  const metrics = readJson('schema/metrics.json');
  const lines = metrics.map(
    (metric) =>
      `${metric.name}: { metric: '${metric.metric}', type: '${metric.type}', text: ${JSON.stringify(metric.text)}, tags: ${JSON.stringify(metric.tags)} as string[] },`,
  );
  await writeFormatted(
    'src/generated/metrics.ts',
    `/** Metrics; generated from schema/metrics.json. */
export const metrics = {\n${lines.join('\n')}\n} as const;\n`,
  );
  const rows = metrics.map(
    (metric) =>
      `| ${metric.metric} | ${metric.type} | ${metric.unit} | ${metric.tags.join(', ')} | ${metric.text} |`,
  );
  await writeFormatted(
    'docs/METRICS.md',
    `# Metrics\n\nGenerated from schema/metrics.json. Sent over StatsD to \`metrics.statsd\`, and served in text format on \`metrics.listen\` at \`/metrics\`, where names have underscores instead of dots.\n\n| metric | type | unit | tags | meaning |\n| --- | --- | --- | --- | --- |\n${rows.join('\n')}\n`,
  );
}

rmSync('src/generated', { recursive: true, force: true });
mkdirSync('src/generated', { recursive: true });
generateMessages();
await generateSchemaTypes();
await generateValidators();
await generateEvents();
await generateMetrics();
