/** Renders a settings template as the users' platform does; only what the project's template uses. */

const SECTION = /\{\{([#^])([^{}]+)\}\}((?:(?!\{\{[#^]\2\}\}).)*?)\{\{\/\2\}\}/s;
const PLACEHOLDER = /\{\{([^{}#^/]+)\}\}/g;

export function renderTemplate(text, fields) {
  return renderValues(renderSections(text, fields), fields);
}

function renderSections(text, fields) {
  let rendered = text;
  for (let found = SECTION.exec(rendered); found !== null; found = SECTION.exec(rendered)) {
    const [whole, kind, name, body] = found;
    const value = lookUp(fields, name);
    const replacement = kind === '^' ? renderUnless(value, body) : renderSection(value, body);
    rendered = rendered.replace(whole, () => replacement);
  }
  return rendered;
}

function renderUnless(value, body) {
  return hasValue(value) ? '' : body;
}

function renderSection(value, body) {
  if (!hasValue(value)) return '';
  if (!Array.isArray(value)) return body;
  const entries = value.map((entry, index) =>
    body
      .replaceAll('{{.}}', String(entry))
      .replaceAll('{{,}}', index + 1 < value.length ? ',' : ''),
  );
  return entries.join('');
}

function renderValues(text, fields) {
  return text.replace(PLACEHOLDER, (_, name) => {
    const value = lookUp(fields, name);
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

function hasValue(value) {
  return value !== undefined && value !== null && value !== false;
}
