use crate::harness::lock_cluster;
use std::{path::Path, process::Command};

#[test]
fn demo_script_succeeds() {
    let _cluster_lock = lock_cluster();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new("bash")
        .arg("scripts/demo.sh")
        .current_dir(root)
        .output();
    let output = output.expect("run bash");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.contains("DONE:"), "{text}");
}
