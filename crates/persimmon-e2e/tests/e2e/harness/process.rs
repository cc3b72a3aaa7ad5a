use serde_json::Value;
use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Output, Stdio},
};

/// Returns the path of a program of this workspace, in the target directory of the test.
pub(crate) fn program_path(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().expect("the path of the test binary");
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

/// Runs a program until it exits and returns its output.
pub(crate) fn run(name: &str, args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(program_path(name));
    command.args(args).envs(variables.iter().copied());
    command.output().expect("run the program")
}

/// A child process that prints its listening addresses as a line of JSON; killed on drop.
pub(crate) struct Process {
    child: Child,
    pub(crate) addresses_line: Value,
}

impl Process {
    pub(crate) fn start(name: &str, args: &[String], variables: &[(String, String)]) -> Self {
        let mut command = Command::new(program_path(name));
        command.args(args).envs(variables.iter().cloned());
        // Standard error is inherited, so that the output of a failed test contains the logs.
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("spawn the program");
        let stdout = child.stdout.take().expect("piped standard output");
        let mut text = String::new();
        BufReader::new(stdout)
            .read_line(&mut text)
            .expect("read the first line");
        let addresses_line = serde_json::from_str(&text)
            .unwrap_or_else(|err| panic!("{name} {args:?} printed {text:?}: {err}"));
        Self {
            child,
            addresses_line,
        }
    }

    pub(crate) fn address(&self, field: &str) -> String {
        let value = &self.addresses_line[field];
        let value = if value.is_array() { &value[0] } else { value };
        value.as_str().expect("an address").to_owned()
    }

    pub(crate) fn addresses(&self, field: &str) -> Vec<String> {
        let list = self.addresses_line[field]
            .as_array()
            .expect("a list of addresses");
        list.iter()
            .map(|it| it.as_str().expect("an address").to_owned())
            .collect()
    }

    /// Sends the signal of this name to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
        assert!(status.expect("run kill").success());
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("wait for the process")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
