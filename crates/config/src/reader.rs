//! Strict reading of JSON with comments.

use crate::{
    bounds,
    finding::{
        Finding,
        Findings,
        Review, //
    }, //
};
use jsonc_parser::{
    ast::{
        Array,
        Object,
        ObjectProp,
        Value, //
    },
    common::{
        Range,
        Ranged, //
    },
    parse_to_ast,
    CollectOptions,
    CommentCollectionStrategy,
    ParseOptions, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashSet,
    fmt,
    iter,
    net::{
        IpAddr,
        SocketAddr, //
    },
    ops::RangeInclusive,
    str,
    sync::Arc,
    time::Duration, //
};

/// Decodes bytes as UTF-8; an error has a finding at the first invalid byte.
pub fn decode_utf8<'t>(file: &str, bytes: &'t [u8]) -> Result<&'t str, Findings> {
    decode_up_to(bounds::TEXT_BYTES_MAX, file, bytes)
}

fn decode_up_to<'t>(max: usize, file: &str, bytes: &'t [u8]) -> Result<&'t str, Findings> {
    if bytes.len() > max {
        return Err(too_long(max, file, bytes.len()));
    }
    str::from_utf8(bytes).map_err(|e| {
        let valid = str::from_utf8(&bytes[..e.valid_up_to()]).unwrap_or_default();
        let reader = Reader::new(file, valid);
        reader.report(valid.len(), "Write the file as UTF-8; this byte is not.");
        reader.into_findings()
    })
}

/// Parses `text` and passes its outermost object to `read`.
///
/// Returns the result of `read` only if there are no findings.
pub fn read_text<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&Reader<'_>, &Object<'_>) -> Option<T>,
) -> Result<T, Findings> {
    if text.len() > bounds::TEXT_BYTES_MAX {
        return Err(too_long(bounds::TEXT_BYTES_MAX, file, text.len()));
    }
    let (reader, found) = read_object(file, text, &WITH_COMMENTS, read);
    reader.finish(found)
}

/// Parses `text` as JSON without comments and trailing commas, and passes its outermost object to `read`.
///
/// The result of `read` is kept even if there are findings.
pub fn review_json<T>(
    file: &str,
    bytes: &[u8],
    read: impl FnOnce(&Reader<'_>, &Object<'_>) -> Option<T>,
) -> Review<T> {
    let text = match decode_up_to(bounds::CONFIGURATION_BYTES_MAX, file, bytes) {
        Ok(text) => text,
        Err(errors) => return Review::failed(errors),
    };
    let (reader, found) = read_object(file, text, &PLAIN, read);
    reader.into_review(found)
}

fn read_object<'t, T>(
    file: &str,
    text: &'t str,
    options: &ParseOptions,
    read: impl FnOnce(&Reader<'_>, &Object<'_>) -> Option<T>,
) -> (Reader<'t>, Option<T>) {
    let reader = Reader::new(file, text);
    let value = match parse_to_ast(text, &COLLECT, options) {
        Ok(parsed) => parsed.value,
        Err(e) => {
            reader.report(
                e.range().start,
                format!(
                    "Correct the JSON here: {}.",
                    lowercase_first(&e.kind().to_string())
                ),
            );
            None
        }
    };
    let found = match &value {
        Some(Value::Object(object)) => read(&reader, object),
        Some(other) => {
            reader.wrong_type(other, "an object in braces");
            None
        }
        None => {
            reader.report_if_first(0, "Write an object in braces; the text is empty.");
            None
        }
    };
    (reader, found)
}

const COLLECT: CollectOptions = CollectOptions {
    comments: CommentCollectionStrategy::Off,
    tokens: false,
};

const WITH_COMMENTS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    ..PLAIN
};

const PLAIN: ParseOptions = ParseOptions {
    allow_comments: false,
    allow_loose_object_property_names: false,
    allow_trailing_commas: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

fn too_long(max: usize, file: &str, bytes: usize) -> Findings {
    let message = format!("Write at most {max} bytes; these are {bytes}.");
    Findings::new(vec![Finding {
        file: file.into(),
        line: 1,
        column: 1,
        message,
    }])
}

/// Reads the values of one text and collects the findings.
pub struct Reader<'t> {
    file: Arc<str>,
    text: &'t str,
    line_starts: Vec<usize>,
    findings: List,
    warnings: List,
}

/// Findings of one severity.
#[derive(Default)]
struct List {
    findings: RefCell<Vec<Finding>>,
    left_out: Cell<usize>,
}

impl List {
    /// Adds a finding unless the list is full.
    fn add(&self, finding: impl FnOnce() -> Finding) {
        let mut findings = self.findings.borrow_mut();
        if findings.len() >= bounds::FINDINGS_MAX {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        findings.push(finding());
    }

    fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    fn into_findings(self) -> Findings {
        let left_out = self.left_out.get();
        Findings::new(self.findings.into_inner()).with_left_out(left_out)
    }
}

impl<'t> Reader<'t> {
    fn new(file: &str, text: &'t str) -> Self {
        let line_ends = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            file: file.into(),
            text,
            line_starts: iter::once(0).chain(line_ends).collect(),
            findings: List::default(),
            warnings: List::default(),
        }
    }

    /// Adds a finding at the byte offset `at`.
    pub fn report(&self, at: usize, message: impl Into<String>) {
        self.findings.add(|| self.finding(at, message.into()));
    }

    /// Adds a warning at the byte offset `at`; only a [`Review`] lists it.
    pub fn warn(&self, at: usize, message: impl Into<String>) {
        self.warnings.add(|| self.finding(at, message.into()));
    }

    fn finding(&self, at: usize, message: String) -> Finding {
        let (line, column) = self.position(at);
        Finding {
            file: self.file.clone(),
            line,
            column,
            message,
        }
    }

    fn report_if_first(&self, at: usize, message: &str) {
        if self.findings.is_empty() {
            self.report(at, message);
        }
    }

    fn position(&self, at: usize) -> (u32, u32) {
        let line = self.line_starts.partition_point(|&start| start <= at);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..at).unwrap_or_default();
        let column = before.chars().count() + 1;
        (saturating_u32(line), saturating_u32(column))
    }

    fn wrong_type(&self, value: &Value<'_>, wanted: &str) {
        let found = describe(value);
        self.report(
            start(value),
            format!("Write {wanted} here instead of {found}."),
        );
    }

    fn into_findings(self) -> Findings {
        self.findings.into_findings()
    }

    fn into_review<T>(self, value: Option<T>) -> Review<T> {
        Review {
            value,
            errors: self.findings.into_findings(),
            warnings: self.warnings.into_findings(),
        }
    }

    fn finish<T>(self, found: Option<T>) -> Result<T, Findings> {
        match found {
            Some(found) if self.findings.is_empty() => Ok(found),
            Some(_) => Err(self.into_findings()),
            None => {
                self.report_if_first(0, "Rewrite the text; it could not be read.");
                Err(self.into_findings())
            }
        }
    }

    /// Reads an object whose fields are all in `known`; unknown and duplicate fields are findings.
    pub fn fields<'r, 'a>(&'r self, object: &'a Object<'a>, known: &[&str]) -> Fields<'r, 't, 'a> {
        let fields = self.entries(object);
        let unknown = fields.entries.iter().filter(|(n, _)| !known.contains(n));
        for (name, prop) in unknown {
            let name = Quoted(name);
            let known = known.join(", ");
            self.report(
                prop.range.start,
                format!("Remove the unknown field {name}; the fields here are {known}."),
            );
        }
        fields
    }

    /// Reads an object with arbitrary field names; duplicate fields are findings.
    pub fn entries<'r, 'a>(&'r self, object: &'a Object<'a>) -> Fields<'r, 't, 'a> {
        let mut entries: Vec<(&str, &ObjectProp<'_>)> = Vec::new();
        let mut seen = HashSet::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if seen.insert(name) {
                entries.push((name, prop));
                continue;
            }
            let name = Quoted(name);
            self.report(
                prop.range.start,
                format!("Remove the second {name}; a field is written once."),
            );
        }
        Fields {
            reader: self,
            range: object.range,
            entries,
        }
    }

    /// Reads an object.
    pub fn object<'a>(&self, value: &'a Value<'a>) -> Option<&'a Object<'a>> {
        let found = value.as_object();
        if found.is_none() {
            self.wrong_type(value, "an object in braces");
        }
        found
    }

    /// Reads a list of at most `max` items.
    pub fn array<'a>(&self, value: &'a Value<'a>, max: usize) -> Option<&'a Array<'a>> {
        let Some(found) = value.as_array() else {
            self.wrong_type(value, "a list in brackets");
            return None;
        };
        if found.elements.len() > max {
            self.report(start(value), format!("Write at most {max} items."));
            return None;
        }
        Some(found)
    }

    /// Reads a string; `wanted` describes it in the finding about a value of another type.
    pub fn string<'a>(&self, value: &'a Value<'a>, wanted: &str) -> Option<&'a str> {
        let found = value.as_string_lit();
        if found.is_none() {
            self.wrong_type(value, wanted);
        }
        found.map(|s| s.value.as_ref())
    }

    /// Reads a boolean.
    pub fn boolean(&self, value: &Value<'_>) -> Option<bool> {
        let found = value.as_boolean_lit();
        if found.is_none() {
            self.wrong_type(value, "true or false");
        }
        found.map(|b| b.value)
    }

    /// Reads an integer within `bounds`.
    pub fn number(&self, value: &Value<'_>, bounds: &RangeInclusive<u64>) -> Option<u64> {
        let wanted = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let Some(found) = value.as_number_lit() else {
            self.wrong_type(value, &wanted);
            return None;
        };
        let number = found.value.parse().ok().filter(|n| bounds.contains(n));
        if number.is_none() {
            self.report(start(value), format!("Write {wanted}."));
        }
        number
    }

    /// Reads a number that is not negative.
    pub fn decimal(&self, value: &Value<'_>) -> Option<f64> {
        const WANTED: &str = "a number from 0";
        let Some(found) = value.as_number_lit() else {
            self.wrong_type(value, WANTED);
            return None;
        };
        let number = found.value.parse().ok();
        let number = number.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        if number.is_none() {
            self.report(start(value), format!("Write {WANTED}."));
        }
        number
    }

    /// Reads a duration in a unit of `unit_s` seconds, with or without a fraction, within `bounds`.
    pub fn decimal_duration(
        &self,
        value: &Value<'_>,
        bounds: &RangeInclusive<f64>,
        unit_s: f64,
    ) -> Option<Duration> {
        let wanted = format!("a number from {} to {}", bounds.start(), bounds.end());
        let Some(found) = value.as_number_lit() else {
            self.wrong_type(value, &wanted);
            return None;
        };
        let number = found.value.parse().ok().filter(|n| bounds.contains(n));
        let duration = number.and_then(|n: f64| Duration::try_from_secs_f64(n * unit_s).ok());
        if duration.is_none() {
            self.report(start(value), format!("Write {wanted}."));
        }
        duration
    }

    /// The text of a value as it was written.
    pub fn source(&self, value: &Value<'_>) -> &'t str {
        let range = value.range();
        self.text.get(range.start..range.end).unwrap_or_default()
    }

    /// Reads an integer within `bounds`, which must fit into 32 bits.
    pub fn number_u32(&self, value: &Value<'_>, bounds: &RangeInclusive<u64>) -> Option<u32> {
        self.number(value, bounds)
            .and_then(|n| u32::try_from(n).ok())
    }

    /// Reads a string that must be one of `choices`, and returns the value paired with it.
    pub fn one_of<T: Copy>(&self, value: &Value<'_>, choices: &[(&str, T)]) -> Option<T> {
        let quoted: Vec<_> = choices
            .iter()
            .map(|(choice, _)| format!("\"{choice}\""))
            .collect();
        let wanted = quoted.join(" or ");
        let text = self.string(value, &wanted)?;
        let found = choices.iter().find(|(choice, _)| *choice == text);
        if found.is_none() {
            self.report(start(value), format!("Write {wanted}."));
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a name of a service, VM, zone, upstream or fleet.
    pub fn name(&self, value: &Value<'_>) -> Option<Arc<str>> {
        let text = self.string(value, "a name in quotes")?;
        self.check_name(start(value), text)
    }

    /// Checks the name at the byte offset `at`.
    pub fn check_name(&self, at: usize, text: &str) -> Option<Arc<str>> {
        if is_name(text) {
            return Some(text.into());
        }
        self.report(
            at,
            format!(
                "Write a name of 1 to {} letters, digits, \"-\", \"_\" or \".\".",
                bounds::NAME_BYTES_MAX
            ),
        );
        None
    }

    /// Reads a unicast IP address with a port other than 0.
    pub fn address(&self, value: &Value<'_>) -> Option<SocketAddr> {
        const WANTED: &str = "an IP address with its port such as \"10.0.0.1:5683\"";
        let text = self.string(value, WANTED)?;
        let found: Option<SocketAddr> = text.parse().ok();
        let found = found.filter(|a| a.port() != 0 && is_unicast(a.ip()));
        if found.is_none() {
            self.report(start(value), format!("Write {WANTED}."));
        }
        found
    }

    /// Reads a unicast IP address without a port.
    pub fn ip(&self, value: &Value<'_>) -> Option<IpAddr> {
        const WANTED: &str = "an IP address such as \"10.0.0.1\"";
        let text = self.string(value, WANTED)?;
        let found: Option<IpAddr> = text.parse().ok();
        let found = found.filter(|ip| is_unicast(*ip));
        if found.is_none() {
            self.report(start(value), format!("Write {WANTED}."));
        }
        found
    }
}

/// Fields of one object without duplicates.
pub struct Fields<'r, 't, 'a> {
    reader: &'r Reader<'t>,
    range: Range,
    entries: Vec<(&'a str, &'a ObjectProp<'a>)>,
}

impl<'a> Fields<'_, '_, 'a> {
    /// Looks up an optional field.
    pub fn optional(&self, name: &str) -> Option<&'a Value<'a>> {
        let found = self.entries.iter().find(|(n, _)| *n == name);
        found.map(|(_, prop)| &prop.value)
    }

    /// Looks up a required field; its absence is a finding.
    pub fn required(&self, name: &str) -> Option<&'a Value<'a>> {
        let found = self.optional(name);
        if found.is_none() {
            self.reader.report(
                self.range.start,
                format!("Add the field \"{name}\" to this object."),
            );
        }
        found
    }

    /// Iterates over the fields as (byte offset of the name, name, value).
    pub fn iter(&self) -> impl Iterator<Item = (usize, &'a str, &'a Value<'a>)> + '_ {
        let entries = self.entries.iter();
        entries.map(|(name, prop)| (prop.range.start, *name, &prop.value))
    }

    /// Byte offset of the object.
    pub fn start(&self) -> usize {
        self.range.start
    }

    /// Reads a required name.
    pub fn name(&self, name: &str) -> Option<Arc<str>> {
        self.required(name).and_then(|v| self.reader.name(v))
    }

    /// Reads a required IP address with its port.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.required(name).and_then(|v| self.reader.address(v))
    }

    /// Reads a required integer within `bounds`.
    pub fn number(&self, name: &str, bounds: &RangeInclusive<u64>) -> Option<u32> {
        let value = self.required(name)?;
        self.reader.number_u32(value, bounds)
    }

    /// Reads an optional integer within `bounds`, `default` if it is absent.
    pub fn number_or(&self, name: &str, bounds: &RangeInclusive<u64>, default: u32) -> Option<u32> {
        match self.optional(name) {
            Some(value) => self.reader.number_u32(value, bounds),
            None => Some(default),
        }
    }

    /// Reads an optional duration in milliseconds within `bounds`, `default` if it is absent.
    pub fn millis_or(
        &self,
        name: &str,
        bounds: &RangeInclusive<u64>,
        default: Duration,
    ) -> Option<Duration> {
        self.duration_or(name, bounds, default, Duration::from_millis)
    }

    /// Reads an optional duration in seconds within `bounds`, `default` if it is absent.
    pub fn seconds_or(
        &self,
        name: &str,
        bounds: &RangeInclusive<u64>,
        default: Duration,
    ) -> Option<Duration> {
        self.duration_or(name, bounds, default, Duration::from_secs)
    }

    fn duration_or(
        &self,
        name: &str,
        bounds: &RangeInclusive<u64>,
        default: Duration,
        unit: fn(u64) -> Duration,
    ) -> Option<Duration> {
        match self.optional(name) {
            Some(value) => self.reader.number(value, bounds).map(unit),
            None => Some(default),
        }
    }
}

/// Byte offset of a value.
pub fn start(value: &Value<'_>) -> usize {
    value.range().start
}

/// Maximum length of a run of hexadecimal digits in a finding; a longer run may be a key.
const HEX_DIGITS_MAX: usize = 15;

/// Displays a text from a file in quotes, or a placeholder if the text may contain a key.
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut runs = self.0.split(|c: char| !c.is_ascii_hexdigit());
        if runs.any(|run| run.len() > HEX_DIGITS_MAX) {
            return f.write_str("(hidden, as it may be a key)");
        }
        write!(f, "{:?}", self.0)
    }
}

fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    let first = chars.next().map(|c| c.to_ascii_lowercase());
    first.into_iter().chain(chars).collect()
}

fn describe(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Whether a text is a valid name of a service, VM, zone, upstream or fleet.
pub(crate) fn is_name(text: &str) -> bool {
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= bounds::NAME_BYTES_MAX && text.bytes().all(is_name_byte)
}

fn is_unicast(ip: IpAddr) -> bool {
    !ip.is_unspecified() && !ip.is_multicast()
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
