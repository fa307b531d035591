//! Reads of platform values from a directory and over HTTP, with injected faults.

use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_net::PlatformClient;
use radishgauge_net::PlatformError;
use radishgauge_standin::PlatformStandIn;

/// A wait that a passing test never exhausts.
const LONG: Duration = Duration::from_secs(600);

/// Guards against keys that refer to files outside the directory.
#[tokio::test]
async fn keys_are_checked() {
    let directory = tempfile::tempdir().unwrap();
    let platform = PlatformClient::directory(directory.path());
    for key in [
        "",
        "/",
        "a//b",
        "../root",
        "a/../b",
        "a/.b",
        "A",
        "a b",
        &"x".repeat(257),
    ] {
        let error = platform.read(key).await.unwrap_err();
        assert_eq!(error, PlatformError::Key(key.to_owned()));
    }
    assert_eq!(platform.read("part/missing").await, Ok(None));
}

/// Guards against a watch that misses a change, returns the known value, or returns
/// a value larger than the platform may store.
#[tokio::test]
async fn file_watch_returns_on_change() {
    let directory = tempfile::tempdir().unwrap();
    let platform = PlatformClient::directory(directory.path());
    let path = directory.path().join("root");
    std::fs::write(&path, "one").unwrap();
    let first = platform.watch("root", None, LONG).await.unwrap().unwrap();
    let known = Some(PartDigest::of(&first));
    assert_eq!(
        platform.watch("root", known, Duration::ZERO).await,
        Ok(None)
    );
    let watch = platform.watch("root", known, LONG);
    let (changed, ()) = tokio::join!(watch, async {
        tokio::task::yield_now().await;
        // Renamed into place, because a plain write could be read partially.
        let fresh = directory.path().join("fresh");
        std::fs::write(&fresh, "two").unwrap();
        std::fs::rename(&fresh, &path).unwrap();
    });
    assert_eq!(changed.unwrap().unwrap(), "two");
    std::fs::write(&path, vec![0; 1024 * 1024 + 1]).unwrap();
    assert_eq!(platform.read("root").await, Err(PlatformError::TooLarge));
}

/// Guards against host names in addresses: hosts have no resolver.
#[test]
fn addresses_must_be_ip_addresses() {
    for address in [
        "platform:80",
        "https://10.0.0.1:80",
        "http://platform:80",
        "http://10.0.0.1",
    ] {
        assert!(PlatformClient::http(address).is_err(), "{address}");
    }
    assert!(PlatformClient::http("http://10.0.0.1:80/").is_ok());
}

/// Guards against a watch over HTTP that misses a change or returns the known
/// value.
#[tokio::test]
async fn http_watch_returns_on_change() {
    let platform = PlatformStandIn::start().await.unwrap();
    let client = PlatformClient::http(&platform.url()).unwrap();
    assert_eq!(client.read("root").await, Ok(None));
    platform.put("root", "one");
    let first = client.watch("root", None, LONG).await.unwrap().unwrap();
    assert_eq!(first, "one");
    let known = Some(PartDigest::of(&first));
    assert_eq!(client.watch("root", known, Duration::ZERO).await, Ok(None));
    let watch = client.watch("root", known, LONG);
    let (changed, ()) = tokio::join!(watch, async {
        while platform.counts().waiting == 0 {
            tokio::task::yield_now().await;
        }
        platform.put("other", "noise");
        platform.put("root", "two");
    });
    assert_eq!(changed.unwrap().unwrap(), "two");
    let counts = platform.counts();
    assert_eq!((counts.reads, counts.watches, counts.waiting), (1, 3, 0));
}

/// Guards against torn, stale or reordered values that digests do not reveal, and
/// against a platform that is down being mistaken for one without values.
#[tokio::test]
async fn platform_faults_are_detected_by_digests_and_errors() {
    let platform = PlatformStandIn::start().await.unwrap();
    let client = PlatformClient::http(&platform.url()).unwrap();
    let versions = ["first version of it", "second version now"];
    let digests = versions.map(|version| PartDigest::of(version.as_bytes()));
    platform.put("root", versions[0]);
    platform.set_stale(true);
    platform.put("root", versions[1]);
    assert_eq!(client.read("root").await.unwrap().unwrap(), versions[0]);
    platform.set_stale(false);
    assert_eq!(client.read("root").await.unwrap().unwrap(), versions[1]);

    platform.set_mixed_values(1);
    let torn = client.read("root").await.unwrap().unwrap();
    assert!(!digests.contains(&PartDigest::of(&torn)), "{torn:?}");
    platform.set_mixed_values(0);

    platform.set_out_of_order(true);
    let mut seen = Vec::new();
    for _ in 0..4 {
        let known = seen
            .last()
            .map(|value: &bytes::Bytes| PartDigest::of(value));
        seen.extend(client.watch("root", known, LONG).await.unwrap());
    }
    assert!(
        seen.windows(2)
            .any(|pair| pair[0] == versions[1] && pair[1] == versions[0]),
        "{seen:?}"
    );
    platform.set_out_of_order(false);

    platform.set_down(true);
    assert!(matches!(
        client.read("root").await,
        Err(PlatformError::Unreachable(_))
    ));
    platform.set_down(false);
    platform.put("large", vec![0; 1024 * 1024 + 1]);
    assert_eq!(client.read("large").await, Err(PlatformError::TooLarge));
    assert_eq!(client.read("root").await.unwrap().unwrap(), versions[1]);
}
