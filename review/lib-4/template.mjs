/** Renders a settings template as the platform does: values, sections and inverted sections. */

const sectionPattern = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const valuePattern = /\{\{([\w.]+|,)\}\}/g;

/** Returns `template` with the values of `fields` in place of its placeholders. */
export function renderTemplate(template, fields) {
  return render(template, { entries: [fields], isLast: true });
}

function render(template, scope) {
  const match = sectionPattern.exec(template);
  if (match === null) return renderValues(template, scope);
  const [whole, kind, name, body] = match;
  const value = resolve(name, scope);
  const section = kind === '#' ? renderSection(body, value, scope) : renderElse(body, value, scope);
  const before = renderValues(template.slice(0, match.index), scope);
  return before + section + render(template.slice(match.index + whole.length), scope);
}

function isAbsent(value) {
  return value === undefined || value === null || value === false;
}

function renderElse(body, value, scope) {
  return isAbsent(value) ? render(body, scope) : '';
}

function renderSection(body, value, scope) {
  if (isAbsent(value)) return '';
  if (typeof value !== 'object') return render(body, scope);
  const entries = Object.values(value);
  return entries
    .map((entry, index) =>
      render(body, { entries: [...scope.entries, entry], isLast: index === entries.length - 1 }),
    )
    .join('');
}

function renderValues(text, scope) {
  return text.replaceAll(valuePattern, (_whole, name) => {
    if (name === ',') return scope.isLast ? '' : ',';
    return format(resolve(name, scope));
  });
}

function format(value) {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function resolve(name, { entries }) {
  if (name === '.') return entries.at(-1);
  for (const entry of entries.toReversed()) {
    const value = tryGet(entry, name.split('.'));
    if (value !== undefined) return value;
  }
  return undefined;
}

function tryGet(from, path) {
  let value = from;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = value[key];
  }
  return value;
}
