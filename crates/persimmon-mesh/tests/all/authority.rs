use persimmon_mesh::{Authority, Credentials, Handler, Mesh, Options};
use std::{sync::Arc, time::Duration};

pub(crate) struct Double;

impl Handler<u32, u32> for Double {
    async fn handle(&self, message: u32) -> u32 {
        message * 2
    }
}

pub(crate) fn open(keys: &Credentials) -> Arc<Mesh<u32, u32>> {
    let address = "127.0.0.1:0".parse().expect("an address");
    Arc::new(Mesh::open(address, keys, Options::default()).expect("a mesh"))
}

async fn call(from: &Credentials, to: &Credentials) -> Option<u32> {
    let server = open(to);
    let address = server.local_address().expect("its address");
    tokio::spawn(Arc::clone(&server).serve(Arc::new(Double)));
    let client = open(from);
    let answer = client.call(address, &21, Duration::from_secs(5)).await;
    answer.ok()
}

#[tokio::test]
async fn issue_from_pem() {
    let authority = Authority::create().expect("an authority");
    let again = Authority::from_pem(authority.certificate(), authority.private_key());
    let again = again.expect("the same authority");
    let keys = [authority.issue("a"), again.issue("b")].map(|it| it.expect("keys"));
    assert_eq!(call(&keys[0], &keys[1]).await, Some(42));
    assert_eq!(call(&keys[1], &keys[0]).await, Some(42));
}

#[tokio::test]
async fn issue_by_a_stranger() {
    let issue = || Authority::create().and_then(|it| it.issue("a"));
    let (own, strange) = (issue().expect("keys"), issue().expect("keys"));
    assert_eq!(call(&strange, &own).await, None);
}
