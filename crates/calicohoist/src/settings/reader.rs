//! Reads values from a TOML document and collects everything that is wrong with
//! it, each finding with file, line, column and field.

use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use calicohoist_types::{Finding, Location, is_valid_name};
use toml_edit::{Document, Item, Table, TableLike};

/// What a name may look like.
pub const ACCEPTED_NAME: &str = "1 to 128 letters, digits, '-', '_', '.' or ':'";

/// A document with the findings so far.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

/// A table being read, with its path and the fields that were asked for.
pub struct Section<'t> {
    path: String,
    table: &'t dyn TableLike,
    span: Option<Range<usize>>,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// A reader of `text`, which came from `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, findings: Vec::new() }
    }

    /// Parses the document; `None`, with a finding, when it is not TOML.
    pub fn parse(&mut self) -> Option<Document<String>> {
        match self.text.parse::<Document<String>>() {
            Ok(document) => Some(document),
            Err(error) => {
                let problem = error.message().to_owned();
                self.add("", error.span(), problem, "a TOML document");
                None
            }
        }
    }

    /// Everything found.
    pub fn into_findings(self) -> Vec<Finding> {
        self.findings
    }

    /// Adds a finding at a place of the text.
    pub fn add(
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

    /// Line and column, from 1, of a byte.
    fn position(&self, byte: usize) -> (usize, usize) {
        let before = &self.text[..byte.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        (line, column)
    }

    /// The whole document as a section.
    pub fn root<'t>(&self, table: &'t Table) -> Section<'t> {
        Section { path: String::new(), table, span: None, known: Vec::new() }
    }

    /// A table inside `section`, if it is there.
    pub fn section<'t>(
        &mut self,
        section: &mut Section<'t>,
        name: &'static str,
    ) -> Option<Section<'t>> {
        let item = section.take(name)?;
        let field = section.field(name);
        match item.as_table_like() {
            Some(table) => {
                Some(Section { path: field, table, span: item.span(), known: Vec::new() })
            }
            None => {
                self.add(&field, item.span(), "is not a table", format!("[{name}]"));
                None
            }
        }
    }

    /// The tables of an array of tables.
    pub fn sections<'t>(
        &mut self,
        section: &mut Section<'t>,
        name: &'static str,
    ) -> Vec<Section<'t>> {
        let Some(item) = section.take(name) else {
            return Vec::new();
        };
        let field = section.field(name);
        let Some(tables) = item.as_array_of_tables() else {
            self.add(&field, item.span(), "is not a list of tables", format!("[[{field}]]"));
            return Vec::new();
        };
        let numbered = tables.iter().enumerate();
        numbered
            .map(|(index, table)| Section {
                path: format!("{field}[{index}]"),
                table,
                span: table.span(),
                known: Vec::new(),
            })
            .collect()
    }

    /// Reports the fields of a section that were not asked for.
    pub fn finish(&mut self, section: Section<'_>) {
        for (name, item) in section.table.iter() {
            if !section.known.contains(&name) {
                let accepted = section.known.join(", ");
                let span = section.key_span(name).or(item.span());
                self.add(&section.field(name), span, "is not a known field", accepted);
            }
        }
    }

    /// A required value that `parse` accepts.
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
            self.add(&field, section.span.clone(), "is missing", accepted);
            return None;
        }
        self.optional(section, name, accepted, parse)
    }

    /// A value that `parse` accepts, if it is there.
    pub fn optional<T>(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        accepted: &str,
        parse: impl Fn(&Item) -> Option<T>,
    ) -> Option<T> {
        let item = section.take(name)?;
        let parsed = parse(item);
        if parsed.is_none() {
            let problem = format!("{} is not accepted", item.to_string().trim());
            self.add(&section.field(name), item.span(), problem, accepted);
        }
        parsed
    }

    /// A whole number in `range`, or `default`.
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

    /// A required socket address.
    pub fn address(&mut self, section: &mut Section<'_>, name: &'static str) -> Option<SocketAddr> {
        self.required(section, name, "an IP number and port, such as \"10.0.0.1:7100\"", |item| {
            item.as_str()?.parse().ok()
        })
    }

    /// A required name.
    pub fn name(&mut self, section: &mut Section<'_>, name: &'static str) -> Option<String> {
        self.required(section, name, ACCEPTED_NAME, |item| {
            let text = item.as_str()?;
            is_valid_name(text).then(|| text.to_owned())
        })
    }

    /// Whether nothing was found so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }
}

impl<'t> Section<'t> {
    fn take(&mut self, name: &'static str) -> Option<&'t Item> {
        self.known.push(name);
        self.table.get(name)
    }

    /// The path of a field of this section.
    pub fn field(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Where the section stands.
    pub fn span(&self) -> Option<Range<usize>> {
        self.span.clone()
    }

    fn key_span(&self, name: &str) -> Option<Range<usize>> {
        self.table.get_key_value(name).and_then(|(key, _)| key.span())
    }
}
