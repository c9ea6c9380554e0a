//! A sidecar's locality in the configuration, and settings that were saved under another locality.

use std::fs;
use std::path::{Path, PathBuf};

use appledyke_fleet::Version;
use appledyke_fleet::scopes::Locality;
use appledyke_sidecar::fleet::{AgreedSettings, FleetConfig};
use serde_json::{Value, json};

fn read(belongs: &Value, keep: &Path) -> Result<FleetConfig, String> {
    let daemons = json!([{"place": 1, "address": "127.0.0.1:7001"}]);
    let mut key = json!({"name": "f", "daemons": daemons, "keep": keep});
    if !belongs.is_null() {
        key["belongs"] = belongs.clone();
    }
    FleetConfig::read(&json!({"fleet": key})).map(|config| config.expect("the key is there"))
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("appledyke-belongs-{}-{name}.json", std::process::id()))
}

#[test]
fn each_fault_of_what_it_belongs_to_is_named() {
    let of = |belongs: Value| read(&belongs, Path::new("k"));
    assert!(of(json!({"service": "menu", "zone": "a1", "region": "a"})).is_ok());
    assert!(of(json!({"service": "menu"})).is_ok() && of(Value::Null).is_ok());
    let odd = "fleet.belongs: expected an object with service, zone or region, not";
    for (belongs, said) in [
        (json!("menu"), format!("{odd} \"menu\"")),
        (json!({}), format!("{odd} {{}}")),
        (json!({"pool": "a"}), "fleet.belongs.pool: unknown".to_string()),
        (json!({"zone": 7}), "fleet.belongs.zone: expected a text, not 7".to_string()),
        (json!({"zone": ""}), "fleet.belongs.zone: expected a name of 256 bytes at the most".to_string()),
        (
            json!({"region": "x".repeat(257)}),
            "fleet.belongs.region: expected a name of 256 bytes at the most".to_string(),
        ),
    ] {
        assert_eq!(of(belongs), Err(said));
    }
}

/// Danger: settings of another service with a later version than this one's own would never be replaced.
#[test]
fn what_was_kept_as_one_that_belonged_elsewhere_is_passed_over() {
    let path = path("kept");
    let menu = json!({"service": "menu", "zone": "a1"});
    let locality = Locality { service: Some("menu".into()), zone: Some("a1".into()), region: None };
    let agreed =
        AgreedSettings { version: Version { generation: 2, number: 7 }, settings: json!({"rules": {}}) };
    agreed.save(&path, Some(&locality)).unwrap();
    assert_eq!(read(&menu, &path).unwrap().load_saved(), Ok(Some(agreed.clone())));
    for (belongs, own) in [
        (json!({"service": "cart", "zone": "a1"}), "service=cart, zone=a1"),
        (json!({"service": "menu"}), "service=menu"),
        (Value::Null, "nothing"),
    ] {
        let why = read(&belongs, &path).unwrap().load_saved().unwrap_err();
        let said =
            format!("kept by a process that belonged to service=menu, zone=a1, and this one does to {own}");
        assert_eq!(why, format!("fleet.keep: {}: {said}", path.display()));
    }
    // Byte for byte as earlier builds saved it, and as a sidecar without a locality still does.
    agreed.save(&path, None).unwrap();
    assert_eq!(fs::read_to_string(&path).unwrap(), r#"{"settings":{"rules":{}},"version":"2.7"}"#);
    assert_eq!(read(&Value::Null, &path).unwrap().load_saved(), Ok(Some(agreed)));
    let why = read(&menu, &path).unwrap().load_saved().unwrap_err();
    assert!(why.contains("belonged to nothing, and this one does to service=menu, zone=a1"), "{why}");
    fs::write(&path, r#"{"version": "2.7", "settings": {}, "belongs": {"pool": "a"}}"#).unwrap();
    assert!(read(&menu, &path).unwrap().load_saved().unwrap_err().contains("belongs.pool: unknown"));
    fs::remove_file(&path).unwrap();
}
