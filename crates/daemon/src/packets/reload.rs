//! Reloads settings while the daemon runs, on a signal or when the file has changed.

use crate::logging::Event;
use foxtailhinge_config::packet_settings::PacketSettings;
use std::{
    cell::RefCell,
    fs,
    path::PathBuf,
    rc::Rc, //
};

/// The settings in force, and the file from which they are reloaded.
#[derive(Debug)]
pub struct LiveSettings {
    path: PathBuf,
    text: RefCell<Vec<u8>>,
    current: RefCell<Rc<PacketSettings>>,
}

impl LiveSettings {
    /// Creates live settings from those that were read from `path`.
    pub fn new(path: PathBuf, text: Vec<u8>, settings: PacketSettings) -> Self {
        Self {
            path,
            text: RefCell::new(text),
            current: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn get(&self) -> Rc<PacketSettings> {
        Rc::clone(&self.current.borrow())
    }

    /// Reads the file again; returns the new settings if they have changed and are valid.
    ///
    /// Settings with findings are refused as a whole, and those in force stay. Settings that cannot change while the
    /// process runs keep their values and are named in the log.
    pub fn reload(&self, cause: &'static str) -> Option<Rc<PacketSettings>> {
        let text = match fs::read(&self.path) {
            Ok(text) => text,
            Err(err) => {
                refuse(cause, &err.to_string());
                return None;
            }
        };
        if *self.text.borrow() == text {
            return None;
        }
        let file = self.path.display().to_string();
        let read = PacketSettings::parse_bytes(&file, &text);
        *self.text.borrow_mut() = text;
        let settings = match read {
            Ok(settings) => settings,
            Err(findings) => {
                refuse(cause, &findings.to_string());
                return None;
            }
        };
        let (settings, fixed) = self.get().merge(settings);
        Event::new("settings_reloaded")
            .field("cause", cause)
            .field("store", settings.store)
            .field("shed", settings.load.shed)
            .field("spill", settings.load.spill)
            .field("zone_price_ms", settings.load.zone_price.as_millis())
            .field("after_restart", fixed.join(","))
            .info();
        let settings = Rc::new(settings);
        *self.current.borrow_mut() = Rc::clone(&settings);
        Some(settings)
    }
}

fn refuse(cause: &'static str, findings: &str) {
    Event::new("settings_refused")
        .field("cause", cause)
        .field("findings", findings.trim_end())
        .error();
}
