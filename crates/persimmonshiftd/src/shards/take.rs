//! Taking a shard over: reading its record, getting the releases, claiming it.

use super::{
    commit::{self, record_key, Outcome, Write},
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
const RELEASE_PAUSE: Duration = Duration::from_millis(200);
/// How often releases are asked for before the shard is looked at anew.
const RELEASE_ROUNDS: u32 = 20;

/// A shard that was taken over.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) book: JobTable,
    pub(crate) record: RecordWire,
    pub(crate) revision: u64,
    pub(crate) session: u64,
    pub(crate) owned_since: Instant,
}

/// A finished try to take a shard over.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) shard: u16,
    pub(crate) result: Result<Box<Taken>, String>,
}

/// Starts a try whose result comes back over the ring.
pub(crate) fn spawn(context: Arc<Context>, charts: Arc<Charts>, shard: u16) {
    let ring = context.shards.reporter();
    tokio::spawn(async move {
        let result = take(&context, &charts, shard).await.map(Box::new);
        let _ = ring.send(ShardMessage::Taken(Done { shard, result })).await;
    });
}

async fn take(context: &Context, charts: &Charts, shard: u16) -> Result<Taken, String> {
    let (record, revision) = read(context, shard).await?;
    if let Some(owner) = &record.owner {
        let holder = HolderWire {
            member: owner.member.clone(),
            incarnation: owner.incarnation,
        };
        if holder != context.holder() {
            get_releases(context, &record, &holder).await?;
        }
    }
    let book = read_book(context, charts, &record).await?;
    let standing = context.ownership.lock().valid_session(context.now());
    let session = standing.ok_or("this daemon's session is not valid")?;
    let claim = RecordWire {
        epoch: record.epoch + 1,
        owner: Some(OwnerWire {
            member: context.settings.member_id.clone(),
            incarnation: context.incarnation,
        }),
        witnesses: witnesses(context),
        token: token(context, shard, record.epoch + 1, 0),
        ..record
    };
    let write = Write {
        shard,
        expected_revision: revision,
        record: claim,
        chunks: Vec::new(),
        obsolete: Vec::new(),
    };
    match commit::write(context, &write).await {
        Outcome::Written { revision } => {
            let owned_since = context.now();
            Ok(Taken {
                book,
                record: write.record,
                revision,
                session,
                owned_since,
            })
        }
        Outcome::Lost => Err("another daemon changed the record first".to_owned()),
    }
}

async fn read(context: &Context, shard: u16) -> Result<(RecordWire, u64), String> {
    let asked_at = context.now();
    let entry = context
        .store
        .get(&record_key(shard))
        .await
        .map_err(|err| err.to_string())?;
    context.record_store_contact(asked_at);
    let Some(entry) = entry else {
        return Ok((RecordWire::default(), 0));
    };
    let text = entry.value.unwrap_or_default();
    let record = serde_json::from_str(&text).map_err(|err| format!("record: {err}"))?;
    Ok((record, entry.revision))
}

async fn read_book(
    context: &Context,
    charts: &Charts,
    record: &RecordWire,
) -> Result<JobTable, String> {
    let mut book = match &record.base {
        Some(base) => read_base(context, base).await?,
        None => JobTable::default(),
    };
    book.replay(charts, record.tail.clone())
        .map_err(|err| err.to_string())?;
    Ok(book)
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

/// Waits until the holder can no longer act for the shard.
async fn get_releases(
    context: &Context,
    record: &RecordWire,
    holder: &HolderWire,
) -> Result<(), String> {
    let names = record
        .witnesses
        .iter()
        .map(|witness| witness.address.clone())
        .collect();
    let (missing_since, limit) = {
        let mut members = context.members.lock();
        if members.contains(holder) {
            return Err(format!("{} still owns it", holder.member));
        }
        (
            members.missing_since(holder, context.now()),
            context.settings.outage_limit,
        )
    };
    let mut takeover = Takeover::new(names, missing_since, limit, ClockDrift::default());
    for _ in 0..RELEASE_ROUNDS {
        let TakeoverDecision::RequestReleases(addresses) = takeover.decide(context.now()) else {
            return Ok(());
        };
        let calls = addresses
            .iter()
            .map(|address| ask_release(context, address, holder));
        for (address, given) in addresses.iter().zip(join_all(calls).await) {
            if given {
                takeover.record_release(address);
            }
        }
        if takeover.decide(context.now()) == TakeoverDecision::TakeOver {
            return Ok(());
        }
        if context.members.lock().contains(holder) {
            return Err(format!("{} came back", holder.member));
        }
        tokio::time::sleep(RELEASE_PAUSE).await;
    }
    Err(format!(
        "no release from the witnesses of {}",
        holder.member
    ))
}

async fn ask_release(context: &Context, address: &str, holder: &HolderWire) -> bool {
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
    let answer = context.mesh.call(peer, &message, RELEASE_TIMEOUT).await;
    matches!(answer, Ok(PeerResponse::Granted { .. }))
}

/// The other members, to be recorded as witnesses.
pub(crate) fn witnesses(context: &Context) -> Vec<WitnessWire> {
    let others = context.members.lock().others(&context.settings.member_id);
    let witness = |member: crate::member::Member| WitnessWire {
        member: member.id,
        incarnation: member.incarnation,
        address: member.mesh_address.to_string(),
    };
    others.into_iter().map(witness).collect()
}

/// A token that no other write carries.
pub(crate) fn token(context: &Context, shard: u16, epoch: u64, write: u64) -> String {
    format!(
        "{}#{}/{shard}/{epoch}/{write}",
        context.settings.member_id, context.incarnation
    )
}
