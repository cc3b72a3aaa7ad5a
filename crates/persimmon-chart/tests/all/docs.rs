use persimmon_chart::parse;
use std::{fs, path::Path};

const CHART_FILES: [&str; 4] = [
    "persimmon-shard/charts/job.toml",
    "persimmon-shard/charts/worker.toml",
    "persimmon-route/charts/endpoint.toml",
    "persimmonshiftd/charts/member.toml",
];

/// Checks that `docs/CHARTS.md` matches the chart files, from which it is generated.
///
/// After changing a chart, run this test with `UPDATE_DOCS=1` to regenerate the page.
#[test]
fn docs_match_chart_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut page =
        String::from("# State charts\n\nDrawn from the files that the code interprets.\n");
    for file in CHART_FILES {
        let text = fs::read_to_string(root.join("crates").join(file)).expect("reading the chart");
        let chart = parse(file, &text).expect("a valid chart");
        page += &format!("\n## {}\n\n[{file}](../crates/{file})\n", chart.name);
        page += &format!("\n```mermaid\n{chart}```\n");
    }
    let path = root.join("docs/CHARTS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, &page).expect("writing the page");
    }
    assert_eq!(fs::read_to_string(&path).unwrap_or_default(), page);
}
