//! The file in which a keeper has up to which fence it may grant: [`lease`] has its format.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use lease::{read_record, write_record, Event, Fence, MOST_RECORD};

use super::Cluster;
use crate::node::admin::log;

/// How long a disk that failed is left alone.
const AGAIN: Duration = Duration::from_secs(1);

/// What the file says; nothing where there is none yet.
///
/// # Errors
///
/// It cannot be read, or is not believed, in words.
pub fn read(path: &Path, node: &str) -> Result<Fence, String> {
    let said = |why: &dyn std::fmt::Display| format!("fence_file {}: {why}", path.display());
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Fence(0)),
        Err(error) => return Err(said(&error)),
    };
    let mut text = String::new();
    file.take(MOST_RECORD as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| said(&error))?;
    read_record(node, &text).map_err(|error| said(&error))
}

/// Replaces the file as a whole: a crash leaves the one before or this one.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let mut file = File::create(&beside)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Writes down up to which fence this keeper grants, beside the thread that serves, and says so to the leases. A disk that
/// fails is tried again, from a new file; until then nothing is granted beyond what was written.
pub async fn reserve(fleet: Rc<Cluster>, fence: Fence) {
    let Some(path) = fleet.record.clone() else {
        return;
    };
    let text = write_record(&fleet.name, fence);
    let mut was_said = false;
    loop {
        let (path, text) = (path.clone(), text.clone());
        let written = tokio::task::spawn_blocking(move || replace(&path, &text)).await;
        match written.unwrap_or_else(|error| Err(io::Error::other(error))) {
            Ok(()) => return fleet.lease_event(Event::Reserved(fence)),
            Err(error) if !was_said => {
                was_said = true;
                log::line(format_args!(
                    "leases: the file of fences cannot be written: {error}"
                ));
            }
            Err(_) => {}
        }
        tokio::time::sleep(AGAIN).await;
    }
}
