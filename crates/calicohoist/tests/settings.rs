//! Validation of settings files: all findings are reported, each with its position.

use calicohoist::settings::Settings;
use calicohoist_types::Findings;

const VALID: &str = r#"
name = "gateway-0"
zone = "hala-a"
program_groups = 4

[[store_machines]]
number = 1
address = "127.0.0.1:7001"

[store]
machine = 1
data_folder = "data/1"

[gateway]
http = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
"#;

fn findings(text: &str) -> Findings {
    Settings::parse("node.toml", text).expect_err("the settings are invalid")
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse("node.toml", VALID).expect("valid settings");
    assert!(settings.store.is_some());
    assert!(settings.gateway.is_some());
}

#[test]
fn all_findings_are_reported_with_their_lines() {
    let text = VALID
        .replace("zone = \"hala-a\"", "zone = 3")
        .replace("machine = 1\n", "machine = 9\n")
        .replace("127.0.0.1:8080", "somewhere")
        .replace("[gateway]", "[gateway]\nwokers = 3");
    let found = findings(&text).0;
    let fields: Vec<&str> = found.iter().map(|finding| finding.place.field.as_str()).collect();
    assert!(fields.contains(&"zone"), "{fields:?}");
    assert!(fields.contains(&"store.machine"), "{fields:?}");
    assert!(fields.contains(&"gateway.http"), "{fields:?}");
    assert!(fields.contains(&"gateway.wokers"), "{fields:?}");
    for finding in &found {
        let line = finding.place.line.expect("each finding has a line");
        let name = finding.place.field.rsplit('.').next().expect("a field");
        let text_line = text.lines().nth(line - 1).expect("the line is in the file");
        assert!(text_line.contains(name), "{name} is reported in line {line}: {text_line:?}");
        assert!(!finding.accepted.is_empty());
    }
}

#[test]
fn settings_without_a_role_are_rejected() {
    let text = VALID.split("[store]").next().expect("text before the store section");
    assert!(!findings(text).0.is_empty());
}

#[test]
fn toml_syntax_error_reports_its_line() {
    let found = findings("name = \n").0;
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].place.line, Some(1));
}
