//! Checks that the reference pages match the schema.
//!
//! `RADISHGAUGE_REWRITE=1 cargo test -p radishgauge-config --test reference`
//! rewrites the pages.

use std::collections::HashMap;
use std::env;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use radishgauge_config::reference::FieldReference;
use radishgauge_config::reference::MessageReference;
use radishgauge_config::reference::configuration_reference;
use radishgauge_config::reference::settings_reference;

const SETTINGS: &str = "\
# Settings of a daemon

A daemon reads one YAML file. `radishgauge check --settings FILE` reports all its faults, and \
[examples/settings.yaml](../examples/settings.yaml) is a complete file.
";

/// The limits of `radishgauged --platform`, whose settings file is the platform's.
const PLATFORM_LIMITS: &str = "
## Limits on clients on the users' platform

`radishgauged --platform` reads the platform's settings file, with lines of the form `a.b=value`. The \
fields below may be missing. Shares of the memory are fractions of `limits.memoryMb`. A change takes \
effect at the next start (RG6007).

| field | accepted values | default | meaning |
|---|---|---|---|
| `clients.sharedMemory` | 0.01 to 0.95 | `0.79` | The memory for bodies, long heads, answers, messages and connections together, of which 0.04 of `limits.memoryMb` is kept for connections. The rest is for the daemon itself. |
| `clients.bodyMemory` | 0.01 to 0.95 | `0.72` | The memory for the bodies of requests. An eighth of it is kept for bodies up to 64 KiB, a 32nd from each client address. |
| `clients.answerMemory` | 0.01 to 0.95 | `0.25` | The memory for answers until they are delivered. |
| `clients.messageMemory` | 0.01 to 0.95 | `0.25` | The memory for messages of other daemons. |
| `clients.headMemory` | 0.01 to 0.95 | `0.1` | The memory for heads of more than 1 KiB until their requests have been answered, three times their length each. |
| `clients.connectionMemory` | 0.01 to 0.95 | `0.2` | The memory for connections of callers (16 KiB each), their requests under way (16 KiB each) and their buffers for long answers (64 KiB each). Connections without a request use at most three quarters of it. |
| `clients.connections` | 0.01 to 0.95 | `0.75` | The fraction of `limits.maxFds` less 200 that connections of callers may use, two descriptors each. At most as many are open as there is memory for without requests (`clients.connectionMemory`). |
| `clients.stallTime` | 100ms to 600s | `1s` | How late a caller may be with a request or in taking an answer before its connection gives way to a new one, or to others that lack memory: then the time is multiplied by the fraction of the memory that is free. A body without progress for at least twice this time is given up once other bodies have lacked memory since the first such time. |
| `clients.leastRate` | 1 to 4294967295 B/s | `4096` | The least rate at which a caller must send a request or take an answer to be in time. Nobody is closed for this while there are places and memory. |
| `clients.unreadTime` | 100ms to 600s | `30s` | How long a caller may leave the bytes of an answer unacknowledged. |

Limits that follow from the configuration: a head of a caller is received up to twice `headerBytes` \
(128 KiB at most) and for `headerTimeout` and a second (10 s at most), a body up to `bodyBytes`, within the time of its request, and without \
progress for at most `idleTimeout`. A connection without a request is kept for `idleTimeout` (1 s to 10 min; 30 s before a configuration is known).

## Tolerance of tenants' rate limits on the users' platform

The fields may be missing. A change takes effect within a second. Over all daemons, a tenant may send \
(rate × window + burst) × (1 + overage) + slack requests in any window; see \
[design/quotas.md](design/quotas.md).

| field | accepted values | default | meaning |
|---|---|---|---|
| `bounds.quotaWindow` | 1s to 60s | `5s` | The length of the sliding window. |
| `bounds.quotaOverage` | a number of at least 0 | `0.25` | The fraction by which the limit may be exceeded. |
| `bounds.quotaSlack` | a number of at least 0 | `20` | The requests that may be sent beyond that. |
";

const CONFIGURATION: &str = "\
# Configuration of a fleet

A set is a directory of YAML files, each with any of the lists below; one file holds `policy`. \
`radishgauge check DIR` reports all faults of a set, and \
[examples/abay-etchcraft](../examples/abay-etchcraft) is a complete one.

Names refer to entries of any file of the set. The checks go beyond single fields: each name, host \
and address is used once; a host has one daemon and one failure domain; `cold_start_slots` is at \
most `slots`; no two routes match the same path prefix and method; and at most \
`policy.max_domains_out` failure domains are out.
";

const HEAD: &str = "\
| field | accepted values | default | meaning |
|---|---|---|---|
";

/// Returns the comments on messages and fields of the schema, by full name.
fn comments() -> HashMap<String, String> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema/proto");
    let files = protox::compile(["config.proto", "settings.proto"], [proto]).unwrap();
    let mut comments = HashMap::new();
    for file in &files.file {
        let Some(info) = &file.source_code_info else {
            continue;
        };
        for location in &info.location {
            let Some(comment) = &location.leading_comments else {
                continue;
            };
            // In a descriptor path, 4 is the field number of a file's messages and 2
            // that of a message's fields.
            let name = match location.path.as_slice() {
                [4, message] => file.message_type[*message as usize].name().to_owned(),
                [4, message, 2, field] => {
                    let message = &file.message_type[*message as usize];
                    let field = &message.field[*field as usize];
                    format!("{}.{}", message.name(), field.name())
                }
                _ => continue,
            };
            let text = comment.split_whitespace().collect::<Vec<_>>().join(" ");
            comments.insert(format!("{}.{name}", file.package()), text);
        }
    }
    comments
}

fn page(intro: &str, messages: &[MessageReference]) -> String {
    let comments = comments();
    let mut page = format!(
        "{intro}\nThis page is generated from the schema; see `crates/config/tests/reference.rs`.\n"
    );
    for message in messages {
        let heading = match message.path.as_str() {
            "" => "The file".to_owned(),
            path => format!("`{path}`"),
        };
        let comment = &comments[&message.message];
        write!(page, "\n## {heading}\n\n{comment}\n\n{HEAD}").unwrap();
        for field in &message.fields {
            let name = format!("{}.{}", message.message, field.name);
            page.push_str(&row(field, comments.get(&name)));
        }
    }
    page
}

fn row(field: &FieldReference, comment: Option<&String>) -> String {
    let default = match (field.required, field.default.as_str()) {
        (true, _) => "required".to_owned(),
        (false, "") => String::new(),
        (false, default) => format!("`{default}`"),
    };
    let unique = if field.unique {
        "Unique in its list."
    } else {
        ""
    };
    let comment = comment.map_or("", String::as_str);
    let meaning = [comment, unique, &field.reason];
    let meaning: Vec<&str> = meaning
        .into_iter()
        .filter(|text| !text.is_empty())
        .collect();
    format!(
        "| `{}` | {} | {default} | {} |\n",
        field.name,
        field.accepted,
        meaning.join(" ")
    )
}

fn compare(name: &str, page: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    if env::var_os("RADISHGAUGE_REWRITE").is_some() {
        fs::write(&path, page).unwrap();
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        committed == page,
        "docs/{name} differs from the schema; run this test with RADISHGAUGE_REWRITE=1"
    );
}

#[test]
fn settings_page_is_current() {
    let page = page(SETTINGS, &settings_reference()) + PLATFORM_LIMITS;
    compare("settings.md", &page);
}

#[test]
fn configuration_page_is_current() {
    compare(
        "configuration.md",
        &page(CONFIGURATION, &configuration_reference()),
    );
}
