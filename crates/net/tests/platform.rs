//! Platform values from a directory.

use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_net::PlatformClient;
use radishgauge_net::PlatformError;

/// Long enough that a test which needs the wait to pass fails by its timeout.
const LONG: Duration = Duration::from_secs(600);

/// Guards against keys that lead out of the directory.
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

/// Guards against a watch that misses a change, returns what is known, or
/// returns a value larger than the platform may hold.
#[tokio::test]
async fn a_watched_file_returns_on_change() {
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
        // Renamed into place: a plain write may be read half done.
        let fresh = directory.path().join("fresh");
        std::fs::write(&fresh, "two").unwrap();
        std::fs::rename(&fresh, &path).unwrap();
    });
    assert_eq!(changed.unwrap().unwrap(), "two");
    std::fs::write(&path, vec![0; 1024 * 1024 + 1]).unwrap();
    assert_eq!(platform.read("root").await, Err(PlatformError::TooLarge));
}

/// Guards against names that would need a resolver, which hosts do not have.
#[test]
fn addresses_are_numbers() {
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
