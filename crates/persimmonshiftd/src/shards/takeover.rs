//! Takeover of a shard: reads its record, collects releases from the witnesses and claims it.

use super::{
    commit::{self, record_key, RecordWrite, WriteOutcome},
    handle::ShardMessage,
};
use crate::{
    context::Context,
    message::{HolderWire, PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use persimmon_lease::{ClockDrift, Takeover, TakeoverDecision};
use persimmon_shard::{BaseRef, BaseWire, Charts, JobTable, OwnerWire, RecordWire, WitnessWire};
use persimmon_store::Store;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before releases that are still missing are requested again.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How many times releases are requested before the takeover fails; the next takeover reads the
/// record again.
const RELEASE_ATTEMPTS_MAX: u32 = 20;

/// A shard that has been taken over: its jobs and record as the store holds them, and when and in
/// which session it was claimed.
#[derive(Debug)]
pub(crate) struct TakenShard {
    pub(crate) jobs: JobTable,
    pub(crate) record: RecordWire,
    pub(crate) revision: u64,
    /// The session in which the shard was claimed.
    pub(crate) session: u64,
    pub(crate) owned_since: Instant,
}

/// The result of an attempt to take a shard over.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) shard: u16,
    pub(crate) result: Result<Box<TakenShard>, String>,
}

/// Starts an attempt, whose result is sent to the shard manager.
pub(crate) fn spawn(context: Arc<Context>, charts: Arc<Charts>, shard: u16) {
    let sender = context.shards.completion_sender();
    tokio::spawn(async move {
        let result = take_over(&context, &charts, shard).await.map(Box::new);
        let _ = sender
            .send(ShardMessage::TakeoverFinished(Completion { shard, result }))
            .await;
    });
}

async fn take_over(context: &Context, charts: &Charts, shard: u16) -> Result<TakenShard, String> {
    let (record, revision) = read_record(context, shard).await?;
    if let Some(owner) = &record.owner {
        let holder = HolderWire {
            member: owner.member.clone(),
            incarnation: owner.incarnation,
        };
        if holder != context.holder() {
            collect_releases(context, &record, &holder).await?;
        }
    }
    let jobs = read_jobs(context, charts, &record).await?;
    let session = context.ownership.lock().valid_session(context.now());
    let session = session.ok_or("this daemon's session is not valid")?;
    let claim = RecordWire {
        epoch: record.epoch + 1,
        owner: Some(OwnerWire {
            member: context.settings.member_id.clone(),
            incarnation: context.incarnation,
        }),
        witnesses: current_witnesses(context),
        token: write_token(context, shard, record.epoch + 1, 0),
        ..record
    };
    let write = RecordWrite {
        shard,
        expected_revision: revision,
        record: claim,
        chunks: Vec::new(),
        obsolete_keys: Vec::new(),
    };
    match commit::write_record(context, &write).await {
        WriteOutcome::Written { revision } => {
            let owned_since = context.now();
            Ok(TakenShard {
                jobs,
                record: write.record,
                revision,
                session,
                owned_since,
            })
        }
        WriteOutcome::Superseded => Err("another daemon changed the record first".to_owned()),
    }
}

async fn read_record(context: &Context, shard: u16) -> Result<(RecordWire, u64), String> {
    let sent_at = context.now();
    let entry = context
        .store
        .get(&record_key(shard))
        .await
        .map_err(|err| err.to_string())?;
    context.record_store_contact(sent_at);
    let Some(entry) = entry else {
        return Ok((RecordWire::default(), 0));
    };
    let text = entry.value.unwrap_or_default();
    let record = serde_json::from_str(&text).map_err(|err| format!("record: {err}"))?;
    Ok((record, entry.revision))
}

async fn read_jobs(
    context: &Context,
    charts: &Charts,
    record: &RecordWire,
) -> Result<JobTable, String> {
    let mut jobs = match &record.base {
        Some(base) => read_base(context, base).await?,
        None => JobTable::default(),
    };
    jobs.replay(charts, record.tail.clone())
        .map_err(|err| err.to_string())?;
    Ok(jobs)
}

async fn read_base(context: &Context, base: &BaseRef) -> Result<JobTable, String> {
    let mut text = String::new();
    for number in 0..base.chunks {
        let key = format!("{}{number}", base.prefix);
        let entry = context
            .store
            .get(&key)
            .await
            .map_err(|err| err.to_string())?;
        let chunk = entry.and_then(|entry| entry.value);
        text.push_str(&chunk.ok_or_else(|| format!("{key} is missing"))?);
    }
    let wire: BaseWire = serde_json::from_str(&text).map_err(|err| format!("base: {err}"))?;
    JobTable::try_from(wire).map_err(|err| err.to_string())
}

/// Waits until the holder can no longer act for the shard: enough witnesses have released it, or
/// the outage limit has passed.
///
/// Fails if the holder is registered in the store, or if neither happens within
/// [`RELEASE_ATTEMPTS_MAX`] attempts.
async fn collect_releases(
    context: &Context,
    record: &RecordWire,
    holder: &HolderWire,
) -> Result<(), String> {
    let witness_addresses = record
        .witnesses
        .iter()
        .map(|witness| witness.address.clone())
        .collect();
    let (missing_since, outage_limit) = {
        let mut members = context.members.lock();
        if members.contains(holder) {
            return Err(format!("{} is still registered", holder.member));
        }
        (
            members.missing_since(holder, context.now()),
            context.settings.outage_limit,
        )
    };
    let mut takeover = Takeover::new(
        witness_addresses,
        missing_since,
        outage_limit,
        ClockDrift::default(),
    );
    for _ in 0..RELEASE_ATTEMPTS_MAX {
        let TakeoverDecision::RequestReleases(addresses) = takeover.decide(context.now()) else {
            return Ok(());
        };
        let calls = addresses
            .iter()
            .map(|address| request_release(context, address, holder));
        for (address, released) in addresses.iter().zip(join_all(calls).await) {
            if released {
                takeover.record_release(address);
            }
        }
        if takeover.decide(context.now()) == TakeoverDecision::TakeOver {
            return Ok(());
        }
        if context.members.lock().contains(holder) {
            return Err(format!("{} has registered again", holder.member));
        }
        tokio::time::sleep(RELEASE_RETRY_DELAY).await;
    }
    Err(format!(
        "too few witnesses released the shards of {}",
        holder.member
    ))
}

async fn request_release(context: &Context, address: &str, holder: &HolderWire) -> bool {
    if *address == context.mesh_address.to_string() {
        let holder = persimmon_lease::Holder {
            member: holder.member.clone(),
            incarnation: holder.incarnation,
        };
        return context
            .witness
            .lock()
            .release(&holder, context.now())
            .is_ok();
    }
    let Ok(peer) = address.parse() else {
        return false;
    };
    let message = PeerRequest::Release(holder.clone());
    let response = context.mesh.call(peer, &message, RELEASE_TIMEOUT).await;
    matches!(response, Ok(PeerResponse::Granted { .. }))
}

/// Returns the other members, which the record of a shard names as its witnesses.
pub(crate) fn current_witnesses(context: &Context) -> Vec<WitnessWire> {
    let others = context.members.lock().others(&context.settings.member_id);
    let witness = |member: crate::member::Member| WitnessWire {
        member: member.id,
        incarnation: member.incarnation,
        address: member.mesh_address.to_string(),
    };
    others.into_iter().map(witness).collect()
}

/// Returns a token that no other write carries.
///
/// After a write whose response was lost, the writer reads the record back and recognizes its own
/// write by the token.
pub(crate) fn write_token(context: &Context, shard: u16, epoch: u64, write: u64) -> String {
    format!(
        "{}#{}/{shard}/{epoch}/{write}",
        context.settings.member_id, context.incarnation
    )
}
