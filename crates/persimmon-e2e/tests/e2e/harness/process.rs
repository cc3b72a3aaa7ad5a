use serde_json::Value;
use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Output, Stdio},
};

/// The path of a program of this workspace, beside the test's own.
pub(crate) fn program(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().expect("the test's path");
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{} is not built; run scripts/test.sh",
        path.display()
    );
    path
}

/// Runs a program to its end.
pub(crate) fn run(name: &str, args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(program(name));
    command.args(args).envs(variables.iter().copied());
    command.output().expect("the program runs")
}

/// A running program that tells where it listens; killed when dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) line: Value,
}

impl Process {
    pub(crate) fn start(name: &str, args: &[String], variables: &[(String, String)]) -> Self {
        let mut command = Command::new(program(name));
        command.args(args).envs(variables.iter().cloned());
        // Standard error is passed on, so that a failed test shows the logs.
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("its output");
        let mut text = String::new();
        BufReader::new(stdout)
            .read_line(&mut text)
            .expect("its first line");
        let line = serde_json::from_str(&text)
            .unwrap_or_else(|err| panic!("{name} {args:?} said {text:?}: {err}"));
        Self { child, line }
    }

    pub(crate) fn address(&self, field: &str) -> String {
        let value = &self.line[field];
        let value = if value.is_array() { &value[0] } else { value };
        value.as_str().expect("an address").to_owned()
    }

    pub(crate) fn addresses(&self, field: &str) -> Vec<String> {
        let list = self.line[field].as_array().expect("addresses");
        list.iter()
            .map(|it| it.as_str().expect("an address").to_owned())
            .collect()
    }

    /// Sends a signal by name, to this process alone.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
        assert!(status.expect("kill").success());
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("its end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
