//! The ring of ids, in memory and in its file.

use super::*;

#[test]
fn ids_are_found_until_they_are_removed_or_too_many_have_followed() {
    let path = std::env::temp_dir().join(format!("appledyke-sent-ids-{}", std::process::id()));
    let mut ids = SentIds::new(Some(File::create(&path).unwrap()));
    let id = |number: usize| IdHash::of(&format!("id{number}"));
    (0..3).for_each(|number| ids.insert(id(number)));
    ids.remove(id(1));
    assert!(ids.contains(id(0)) && !ids.contains(id(1)) && ids.contains(id(2)));
    assert_eq!(read(&path), [id(0), id(2)]);
    (3..MAX_IDS).for_each(|number| ids.insert(id(number)));
    assert!(ids.contains(id(0)));
    (MAX_IDS..MAX_IDS + 2).for_each(|number| ids.insert(id(number)));
    assert!(!ids.contains(id(0)) && ids.contains(id(2)) && ids.contains(id(MAX_IDS + 1)));
    assert_eq!(read(&path).len(), ids.slot_of.len());
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read(&path), []);
}
