//! TOML reader that collects all validation findings, each with file, line, column and field.

use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use calicohoist_types::{Finding, Location, is_valid_name};
use toml_edit::{Document, Item, Table, TableLike};

/// Accepted format of names.
pub const NAME_FORMAT: &str = "1 to 128 letters, digits, '-', '_', '.' or ':'";

/// Document reader with the findings so far.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

/// Table being read, with its path and the names of its known fields.
pub struct Section<'t> {
    path: String,
    table: &'t dyn TableLike,
    span: Option<Range<usize>>,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for `text`, the content of `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, findings: Vec::new() }
    }

    /// Parses the document; adds a finding and returns `None` on a TOML syntax error.
    pub fn parse(&mut self) -> Option<Document<String>> {
        match self.text.parse::<Document<String>>() {
            Ok(document) => Some(document),
            Err(error) => {
                let problem = error.message().to_owned();
                self.add_finding("", error.span(), problem, "a TOML document");
                None
            }
        }
    }

    /// Returns all findings.
    pub fn into_findings(self) -> Vec<Finding> {
        self.findings
    }

    /// Adds a finding with the position of `span`.
    pub fn add_finding(
        &mut self,
        field: &str,
        span: Option<Range<usize>>,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let position = span.map(|span| self.position(span.start));
        self.findings.push(Finding {
            place: Location {
                file: self.file.to_owned(),
                line: position.map(|(line, _)| line),
                column: position.map(|(_, column)| column),
                field: field.to_owned(),
            },
            problem: problem.into(),
            accepted: accepted.into(),
        });
    }

    /// Returns the one-based line and column of a byte offset.
    fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        (line, column)
    }

    /// Returns the document root as a section.
    pub fn root<'t>(&self, table: &'t Table) -> Section<'t> {
        Section { path: String::new(), table, span: None, known: Vec::new() }
    }

    /// Reads an optional table in `section`.
    pub fn section<'t>(
        &mut self,
        section: &mut Section<'t>,
        name: &'static str,
    ) -> Option<Section<'t>> {
        let item = section.get_known(name)?;
        let field = section.field(name);
        match item.as_table_like() {
            Some(table) => {
                Some(Section { path: field, table, span: item.span(), known: Vec::new() })
            }
            None => {
                self.add_finding(&field, item.span(), "is not a table", format!("[{name}]"));
                None
            }
        }
    }

    /// Reads an optional array of tables.
    pub fn sections<'t>(
        &mut self,
        section: &mut Section<'t>,
        name: &'static str,
    ) -> Vec<Section<'t>> {
        let Some(item) = section.get_known(name) else {
            return Vec::new();
        };
        let field = section.field(name);
        let Some(tables) = item.as_array_of_tables() else {
            self.add_finding(
                &field,
                item.span(),
                "is not a list of tables",
                format!("[[{field}]]"),
            );
            return Vec::new();
        };
        let indexed = tables.iter().enumerate();
        indexed
            .map(|(index, table)| Section {
                path: format!("{field}[{index}]"),
                table,
                span: table.span(),
                known: Vec::new(),
            })
            .collect()
    }

    /// Adds a finding for each field of a section that was not read.
    pub fn report_unknown_fields(&mut self, section: Section<'_>) {
        for (name, item) in section.table.iter() {
            if !section.known.contains(&name) {
                let accepted = section.known.join(", ");
                let span = section.key_span(name).or(item.span());
                self.add_finding(&section.field(name), span, "is not a known field", accepted);
            }
        }
    }

    /// Reads a required value with `parse`.
    pub fn required<T>(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        accepted: &str,
        parse: impl Fn(&Item) -> Option<T>,
    ) -> Option<T> {
        if section.table.get(name).is_none() {
            section.known.push(name);
            let field = section.field(name);
            self.add_finding(&field, section.span.clone(), "is missing", accepted);
            return None;
        }
        self.optional(section, name, accepted, parse)
    }

    /// Reads an optional value with `parse`.
    pub fn optional<T>(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        accepted: &str,
        parse: impl Fn(&Item) -> Option<T>,
    ) -> Option<T> {
        let item = section.get_known(name)?;
        let parsed = parse(item);
        if parsed.is_none() {
            let problem = format!("{} is not accepted", item.to_string().trim());
            self.add_finding(&section.field(name), item.span(), problem, accepted);
        }
        parsed
    }

    /// Reads an optional integer in `range`, with a default.
    pub fn number(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let accepted = format!("{} to {}", range.start(), range.end());
        let parsed = self.optional(section, name, &accepted, |item| {
            let number = u64::try_from(item.as_integer()?).ok()?;
            range.contains(&number).then_some(number)
        });
        parsed.unwrap_or(default)
    }

    /// Reads a required socket address.
    pub fn address(&mut self, section: &mut Section<'_>, name: &'static str) -> Option<SocketAddr> {
        self.required(section, name, "an IP number and port, such as \"10.0.0.1:7100\"", |item| {
            item.as_str()?.parse().ok()
        })
    }

    /// Reads a required name.
    pub fn name(&mut self, section: &mut Section<'_>, name: &'static str) -> Option<String> {
        self.required(section, name, NAME_FORMAT, |item| {
            let text = item.as_str()?;
            is_valid_name(text).then(|| text.to_owned())
        })
    }

    /// Returns whether there are no findings so far.
    pub fn has_no_findings(&self) -> bool {
        self.findings.is_empty()
    }
}

impl<'t> Section<'t> {
    fn get_known(&mut self, name: &'static str) -> Option<&'t Item> {
        self.known.push(name);
        self.table.get(name)
    }

    /// Returns the full path of a field of this section.
    pub fn field(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Returns the source range of the section.
    pub fn span(&self) -> Option<Range<usize>> {
        self.span.clone()
    }

    fn key_span(&self, name: &str) -> Option<Range<usize>> {
        self.table.get_key_value(name).and_then(|(key, _)| key.span())
    }
}
