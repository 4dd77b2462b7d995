use std::{collections::BTreeMap, fmt::Write, ops::RangeInclusive, time::Duration};

use crate::{
    KeyInfo, Manifest, PoolSpec, ServiceSpec, TeamSpec, TextError, WindowSpec, WorkspaceSpec,
    ini_text::{IniSection, read_sections},
    key_rule::{KeyField, KeyRule, fill_section},
    value_text::read_name,
};

/// The sections of a manifest as text, by section name such as `pool.coding`.
pub type SectionTexts = BTreeMap<String, String>;

/// Why a manifest was refused.
pub type ManifestError = TextError;

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);
/// Allowed maintenance intervals of a window: from one second, for trials, to one year.
const INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(366 * 24 * 60 * 60);

const DEPLOYMENT_RULES: &[KeyRule<Manifest>] = &[KeyRule::required(
    "name",
    KeyField::NameText(|manifest| &mut manifest.name),
    "Name of the deployment.",
)];

const POOL_RULES: &[KeyRule<PoolSpec>] = &[
    KeyRule::required(
        "role",
        KeyField::Role(|pool| &mut pool.role),
        "Whether the hosts answer requests (executor) or run jobs (worker).",
    ),
    KeyRule::required(
        "size",
        KeyField::Count(1..=2_000, |pool| &mut pool.size),
        "How many hosts the pool should have.",
    ),
    KeyRule::required(
        "budget",
        KeyField::Count(0..=2_000, |pool| &mut pool.budget),
        "Availability budget: how many hosts must be in service at every moment.",
    ),
    KeyRule::optional(
        "slots",
        KeyField::Count(1..=1_024, |pool| &mut pool.slots),
        "Requests or tasks that one host runs at once.",
    ),
    KeyRule::optional(
        "connections",
        KeyField::Count(1..=65_535, |pool| &mut pool.connections),
        "Connections that one host allows across all entry hosts; no fewer than its slots.",
    ),
    KeyRule::optional(
        "spare",
        KeyField::Flag(|pool| &mut pool.spare),
        "Whether the pool lends its hosts to the other pools of its role; one for each role.",
    ),
    KeyRule::optional(
        "window",
        KeyField::NameText(|pool| &mut pool.window),
        "Maintenance window; left out, the hosts are not maintained.",
    ),
];

const SERVICE_RULES: &[KeyRule<ServiceSpec>] = &[
    KeyRule::required(
        "pool",
        KeyField::Name(|service| &mut service.pool),
        "Pool whose executors answer the requests of the service.",
    ),
    KeyRule::optional(
        "worker_pool",
        KeyField::Name(|service| &mut service.worker_pool),
        "Pool whose workers run the jobs of the service; left out, it takes no jobs.",
    ),
];

const TEAM_RULES: &[KeyRule<TeamSpec>] = &[
    KeyRule::required(
        "share",
        KeyField::Count(1..=1_000, |team| &mut team.share),
        "Weight of the team when a pool is full.",
    ),
    KeyRule::required(
        "limit",
        KeyField::Count(1..=1_000_000, |team| &mut team.limit),
        "Upper limit: most requests and tasks that the team may have running across the fleet.",
    ),
];

const WINDOW_RULES: &[KeyRule<WindowSpec>] = &[
    KeyRule::required(
        "start",
        KeyField::TimeOfDay(|window| &mut window.start),
        "When the window opens each day.",
    ),
    KeyRule::required(
        "length",
        KeyField::Duration(MINUTE..=DAY, |window| &mut window.length),
        "How long it stays open; `24h` leaves it always open.",
    ),
    KeyRule::required(
        "every",
        KeyField::Duration(INTERVAL_RANGE, |window| &mut window.every),
        "How often each host is maintained.",
    ),
    KeyRule::required(
        "at_once",
        KeyField::Count(1..=2_000, |window| &mut window.at_once),
        "Most hosts of one pool that may be out for maintenance at once.",
    ),
];

const WORKSPACE_RULES: &[KeyRule<WorkspaceSpec>] = &[
    KeyRule::required(
        "team",
        KeyField::Name(|workspace| &mut workspace.team),
        "Team that the workspace belongs to.",
    ),
    KeyRule::required(
        "limit",
        KeyField::Count(1..=1_000_000, |workspace| &mut workspace.limit),
        "Most tasks that the workspace may have running; no more than the limit of its team.",
    ),
];

impl Manifest {
    /// Splits manifest text into its sections and normalizes each: keys sorted, comments
    /// removed. Sections with equal keys and values therefore have equal text.
    ///
    /// # Errors
    /// The first error in the text.
    pub fn split(text: &str) -> Result<SectionTexts, ManifestError> {
        let mut texts = SectionTexts::new();
        for section in read_sections(text)? {
            parse_section_name(&section)?;
            // In the change log, an empty text means that the section was removed.
            if section.entries.is_empty() {
                return Err(error_at_section(&section, "the section has no keys"));
            }
            texts.insert(section.name.clone(), normalize_entries(&section));
        }
        Ok(texts)
    }

    /// Parses and checks a manifest from its sections. Without sections the manifest is empty,
    /// as in a new deployment.
    ///
    /// # Errors
    /// The first error: an unknown key, a value out of range, a reference to a missing section,
    /// or a budget that can't be met.
    pub fn from_sections(sections: &SectionTexts) -> Result<Self, ManifestError> {
        let mut manifest = Self::default();
        if sections.is_empty() {
            return Ok(manifest);
        }
        for (name, text) in sections {
            let read = read_sections(&format!("[{name}]\n{text}"))
                .map_err(|error| TextError { line: 0, ..error })?;
            for section in &read {
                manifest.add_section(section)?;
            }
        }
        manifest.check()?;
        Ok(manifest)
    }

    /// Parses and checks manifest text; errors have the line number.
    ///
    /// # Errors
    /// As for [`Manifest::split`] and [`Manifest::from_sections`].
    pub fn from_ini(text: &str) -> Result<(SectionTexts, Self), ManifestError> {
        let texts = Self::split(text)?;
        if texts.is_empty() {
            return Err(TextError {
                section: "deployment".to_owned(),
                reason: "the section is required".to_owned(),
                ..TextError::default()
            });
        }
        let manifest =
            Self::from_sections(&texts).map_err(|error| with_line_number(text, error))?;
        Ok((texts, manifest))
    }

    /// Formats sections as manifest text.
    pub fn format_sections(sections: &SectionTexts) -> String {
        let mut text = String::new();
        for (name, body) in sections {
            let gap = if text.is_empty() { "" } else { "\n" };
            let _ = write!(text, "{gap}[{name}]\n{body}");
        }
        text
    }

    /// Returns all manifest keys, for the docs.
    pub fn keys() -> Vec<KeyInfo> {
        let mut keys = Vec::new();
        keys.extend(DEPLOYMENT_RULES.iter().map(|rule| rule.info("deployment")));
        keys.extend(POOL_RULES.iter().map(|rule| rule.info("pool.NAME")));
        keys.extend(SERVICE_RULES.iter().map(|rule| rule.info("service.NAME")));
        keys.extend(TEAM_RULES.iter().map(|rule| rule.info("team.NAME")));
        keys.extend(WINDOW_RULES.iter().map(|rule| rule.info("window.NAME")));
        keys.extend(
            WORKSPACE_RULES
                .iter()
                .map(|rule| rule.info("workspace.NAME")),
        );
        keys
    }

    fn add_section(&mut self, section: &IniSection) -> Result<(), ManifestError> {
        let (kind, name) = parse_section_name(section)?;
        match kind {
            "deployment" => fill_section(section, DEPLOYMENT_RULES, self)?,
            "pool" => add_spec(section, POOL_RULES, name.into(), &mut self.pools)?,
            "service" => add_spec(section, SERVICE_RULES, name.into(), &mut self.services)?,
            "team" => add_spec(section, TEAM_RULES, name.into(), &mut self.teams)?,
            "window" => add_spec(section, WINDOW_RULES, name.to_owned(), &mut self.windows)?,
            _ => add_spec(section, WORKSPACE_RULES, name.into(), &mut self.workspaces)?,
        }
        Ok(())
    }
}

fn add_spec<I: Ord, T: Default>(
    section: &IniSection,
    rules: &[KeyRule<T>],
    id: I,
    specs: &mut BTreeMap<I, T>,
) -> Result<(), ManifestError> {
    let mut spec = T::default();
    fill_section(section, rules, &mut spec)?;
    specs.insert(id, spec);
    Ok(())
}

/// Splits a section name such as `pool.coding` into kind and name, and checks both.
fn parse_section_name(section: &IniSection) -> Result<(&str, &str), ManifestError> {
    const KINDS: [&str; 5] = ["pool", "service", "team", "window", "workspace"];
    if section.name == "deployment" {
        return Ok(("deployment", ""));
    }
    let Some((kind, name)) = section.name.split_once('.') else {
        return Err(error_at_section(section, UNKNOWN_SECTION));
    };
    if !KINDS.contains(&kind) {
        return Err(error_at_section(section, UNKNOWN_SECTION));
    }
    read_name(name).map_err(|reason| error_at_section(section, &reason))?;
    Ok((kind, name))
}

const UNKNOWN_SECTION: &str = "unknown section; known are deployment, pool.NAME, service.NAME, \
                               team.NAME, window.NAME and workspace.NAME";

fn normalize_entries(section: &IniSection) -> String {
    let mut lines: Vec<String> = section
        .entries
        .iter()
        .map(|entry| format!("{} = {}\n", entry.key, entry.value))
        .collect();
    lines.sort_unstable();
    lines.concat()
}

/// Adds the line number in `text` to an error that was found in one of its sections.
fn with_line_number(text: &str, error: TextError) -> TextError {
    let sections = read_sections(text).unwrap_or_default();
    let section = sections
        .iter()
        .find(|section| section.name == error.section);
    TextError {
        line: section.map_or(0, |section| section.line_of(&error.key)),
        ..error
    }
}

fn error_at_section(section: &IniSection, reason: &str) -> ManifestError {
    ManifestError {
        line: section.line,
        section: section.name.clone(),
        key: String::new(),
        reason: reason.to_owned(),
    }
}
