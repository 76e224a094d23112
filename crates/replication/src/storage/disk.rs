//! The few operations that the log needs of a disk, so that a simulated disk
//! can lose what was not synced.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::DiskError;

/// A folder of files with explicit durability.
pub trait Disk {
    /// The whole content of `name`; `None` when there is no such file.
    ///
    /// # Errors
    /// When the disk fails.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;

    /// `length` bytes of `name` from `offset` on; fewer at its end, none where there is no
    /// such file.
    ///
    /// # Errors
    /// When the disk fails.
    fn read_range(&self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, DiskError> {
        let whole = self.read(name)?.unwrap_or_default();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(whole.len());
        let end = start.saturating_add(length).min(whole.len());
        Ok(whole[start..end].to_vec())
    }

    /// Length of `name`, in bytes; `None` when there is no such file.
    ///
    /// # Errors
    /// When the disk fails.
    fn length(&self, name: &str) -> Result<Option<u64>, DiskError> {
        Ok(self.read(name)?.map(|whole| whole.len() as u64))
    }

    /// Appends to `name`, which is created if need be. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// When the disk fails or is full; part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes all appends to `name` durable.
    ///
    /// # Errors
    /// When the disk fails; nothing can be assumed of what was appended.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;

    /// Replaces `name` by `bytes`, durably and all or nothing.
    ///
    /// # Errors
    /// When the disk fails or is full; the old content stays.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Cuts `name` to `length` bytes, durably.
    ///
    /// # Errors
    /// When the disk fails.
    fn truncate(&mut self, name: &str, length: usize) -> Result<(), DiskError>;

    /// Removes `name`, if it is there.
    ///
    /// # Errors
    /// When the disk fails.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;

    /// The names of all files.
    ///
    /// # Errors
    /// When the disk fails.
    fn list(&self) -> Result<Vec<String>, DiskError>;
}

/// Ending of files that are being written and not yet in place.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// A folder of the operating system.
#[derive(Debug)]
pub struct DirectoryDisk {
    folder: PathBuf,
    /// The file that was appended to last, kept open.
    open: Option<(String, File)>,
}

impl DirectoryDisk {
    /// Opens `folder`, which is created if need be.
    ///
    /// # Errors
    /// When it cannot be created.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        fs::create_dir_all(folder).map_err(|source| DiskError::Io {
            operation: "create",
            file: folder.display().to_string(),
            source,
        })?;
        Ok(Self { folder: folder.to_owned(), open: None })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn check<T>(operation: &'static str, name: &str, done: io::Result<T>) -> Result<T, DiskError> {
        done.map_err(|source| DiskError::Io { operation, file: name.to_owned(), source })
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        let synced = File::open(&self.folder).and_then(|folder| folder.sync_all());
        Self::check("sync", "data folder", synced)
    }

    fn file(&mut self, name: &str) -> Result<&mut File, DiskError> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let path = self.path(name);
            let is_new = !path.exists();
            let opened = OpenOptions::new().create(true).append(true).open(path);
            let file = Self::check("open", name, opened)?;
            if is_new {
                self.sync_folder()?;
            }
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => unreachable!("the file was opened above"),
        }
    }
}

impl Disk for DirectoryDisk {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        match fs::read(self.path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Self::check("read", name, Err(error)),
        }
    }

    fn read_range(&self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, DiskError> {
        let mut bytes = Vec::with_capacity(length);
        let mut read = || {
            let mut file = File::open(self.path(name))?;
            file.seek(SeekFrom::Start(offset))?;
            file.take(length as u64).read_to_end(&mut bytes)
        };
        match read() {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            done => Self::check("read", name, done).map(|_| bytes),
        }
    }

    fn length(&self, name: &str) -> Result<Option<u64>, DiskError> {
        match fs::metadata(self.path(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Self::check("look up", name, Err(error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let written = self.file(name)?.write_all(bytes);
        Self::check("append", name, written)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let synced = self.file(name)?.sync_data();
        Self::check("sync", name, synced)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let write = || {
            let mut file = File::create(self.path(&temporary))?;
            file.write_all(bytes)?;
            file.sync_all()?;
            fs::rename(self.path(&temporary), self.path(name))
        };
        Self::check("replace", name, write())?;
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<(), DiskError> {
        let cut = || {
            let file = OpenOptions::new().write(true).open(self.path(name))?;
            file.set_len(length as u64)?;
            file.sync_all()
        };
        Self::check("truncate", name, cut())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Self::check("remove", name, Err(error))
            }
            _ => Ok(()),
        }
    }

    fn list(&self) -> Result<Vec<String>, DiskError> {
        let entries = Self::check("list", "data folder", fs::read_dir(&self.folder))?;
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        Ok(names.filter(|name| !name.ends_with(TEMPORARY_SUFFIX)).collect())
    }
}
