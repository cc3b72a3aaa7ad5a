//! Polling of the platform's instance list.

use crate::context::Context;
use persimmon_wire::instances::{Instance, ReceivedList};
use std::{sync::Arc, time::Duration};

const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls the list while the process runs. While it can't be read, the last one stays in use.
pub(crate) async fn run(context: Arc<Context>) {
    let url = format!("http://{}/v1/instances", context.settings.instances);
    loop {
        match read(&context, &url).await {
            Ok(list) => adopt(&context, decode(&list)),
            Err(err) => log::debug!(
                "step=instances.read peer={} reason=\"{}\"",
                context.settings.instances,
                err.without_url()
            ),
        }
        tokio::time::sleep(context.settings.instances_interval).await;
    }
}

/// Decodes the entries of the list; logs those that name no instance to use.
fn decode(list: &ReceivedList) -> Vec<Instance> {
    let decoded = list.decode().filter_map(|entry| {
        entry
            .inspect_err(|err| log::warn!("step=instances.decode reason=\"{err}\""))
            .ok()
    });
    decoded.collect()
}

async fn read(context: &Context, url: &str) -> reqwest::Result<ReceivedList> {
    let response = context
        .worker_client
        .get(url)
        .timeout(READ_TIMEOUT)
        .send()
        .await?;
    response.error_for_status()?.json().await
}

fn adopt(context: &Context, instances: Vec<Instance>) {
    let unchanged = **context.instances.lock() == instances;
    if unchanged {
        return;
    }
    *context.instances.lock() = Arc::new(instances);
    context.services.refresh(context);
    context.shards.wake();
}
