//! What must pass before work lands, with a stand-in for cargo: which tests the list of known red ones passes over.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

/// Knows the tests that the file `tests` has, a name and a verdict a line, and picks as the test programs do. What it ran it
/// writes to `ran`, a line for each call.
const CARGO: &str = r#"#!/bin/sh
[ "$1" = test ] || exit 0
exact= only= skip= word= there=
for word; do
    case "$there $word" in
        " --") there=yes ;;
        "yes --exact") exact=yes ;;
        "yes --skip") there=skip ;;
        skip*) skip="$skip|$word|" there=yes ;;
        yes*) only="$only|$word|" ;;
    esac
done
picked() {
    list="$1|"
    while [ "${list#*|}" ]; do
        list="${list#|}" one="${list%%|*}" list="${list#*|}"
        case "$exact $2" in
            "yes $one") return 0 ;;
            yes*) ;;
            *"$one"*) return 0 ;;
        esac
    done
    return 1
}
code=0 ran=
while read -r name verdict; do
    [ -z "$only" ] || picked "$only" "$name" || continue
    [ -n "$skip" ] && picked "$skip" "$name" && continue
    ran="$ran $name"
    echo "test $name ... $verdict"
    [ "$verdict" = ok ] || code=101
done < tests
echo "$ran" >> ran
exit $code
"#;

/// A folder with the script, the stand-in first on the path, and a list of known red tests if there is one.
struct Tree(PathBuf);

impl Tree {
    fn new(red: Option<&str>, tests: &str) -> Tree {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let tree = Tree(std::env::temp_dir().join(format!("appledyke-ci-{}-{number}", std::process::id())));
        for folder in [".ci", "bin"] {
            fs::create_dir_all(tree.0.join(folder)).unwrap();
        }
        fs::copy(Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/run"), tree.0.join(".ci/run")).unwrap();
        let cargo = tree.0.join("bin/cargo");
        fs::write(&cargo, CARGO).unwrap();
        fs::set_permissions(cargo, fs::Permissions::from_mode(0o755)).unwrap();
        fs::write(tree.0.join("tests"), tests).unwrap();
        red.into_iter().for_each(|red| fs::write(tree.0.join("KNOWN-RED.txt"), red).unwrap());
        tree
    }

    fn run(&self) -> Output {
        let path = format!("{}:{}", self.0.join("bin").display(), std::env::var("PATH").unwrap());
        Command::new("bash").arg(self.0.join(".ci/run")).env("PATH", path).output().unwrap()
    }

    /// What the last call of the tests ran.
    fn ran(&self) -> String {
        let ran = fs::read_to_string(self.0.join("ran")).unwrap_or_default();
        ran.lines().last().unwrap_or_default().trim().to_string()
    }
}

impl Drop for Tree {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Whether it passes, what its whole run took in, and what it said.
fn ci(red: Option<&str>, tests: &str) -> (bool, String, String) {
    let tree = Tree::new(red, tests);
    let done = tree.run();
    let said = String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned();
    (done.status.success(), tree.ran(), said)
}

const WELL: &str = "one ok\none_more ok\ntwo ok\n";
const ONE_FAILS: &str = "one FAILED\none_more ok\ntwo ok\n";
const ALL_FAIL: &str = "one FAILED\none_more FAILED\ntwo FAILED\n";

#[test]
fn without_known_red_tests_all_run_and_one_that_fails_is_told() {
    // Danger: the name of a blank line, an empty word, was in that of every test, and all of them were passed over.
    for red in [None, Some(""), Some("\n"), Some("  \n\t\n\n")] {
        let (passes, ran, said) = ci(red, WELL);
        assert!(passes && ran == "one one_more two" && !said.contains("Known red"), "{red:?}: {ran}\n{said}");
        for tests in [ONE_FAILS, ALL_FAIL] {
            let (passes, ran, said) = ci(red, tests);
            assert!(!passes && ran == "one one_more two", "{red:?}: {ran}\n{said}");
        }
    }
}

#[test]
fn a_known_red_test_alone_is_passed_over_and_told() {
    // Danger: a last line without an end was not read, and another test was passed over whose name has this one in it.
    for red in
        ["one (file.rs): cause; issue 1\n", "one (file.rs): cause; issue 1", "\n one (file.rs): cause\n\n"]
    {
        let (passes, ran, said) = ci(Some(red), ONE_FAILS);
        assert!(passes && ran == "one_more two", "{red:?}: {ran}\n{said}");
        assert!(said.contains(&format!("Known red, passed over:\n{red}")), "{said}");
        let (passes, ran, said) = ci(Some(red), ALL_FAIL);
        assert!(!passes && ran == "one_more two", "{red:?}: {ran}\n{said}");
    }
}

#[test]
fn one_that_is_not_red_or_no_test_or_one_too_many_fails() {
    for (red, why) in [
        ("two (file.rs): cause\n", "two is not red any more"),
        ("on (file.rs): cause\n", "on is not red any more, or no test"),
        ("one (file.rs): cause\ntwo (file.rs): cause\n", "two is not red any more"),
        ("a b\nc d\ne f\ng h\n", "4 lines; three at most"),
    ] {
        let (passes, _, said) = ci(Some(red), ONE_FAILS);
        assert!(!passes && said.contains(why), "{red:?}: {said}");
    }
}
