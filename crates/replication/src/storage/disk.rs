//! File operations needed by the log. The trait allows tests to use a simulated disk that loses
//! unsynced data.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::DiskError;

/// A flat folder of files with explicit control of durability.
pub trait Disk {
    /// Reads the whole file; `None` if it does not exist.
    ///
    /// # Errors
    /// When the disk fails.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;

    /// Reads up to `length` bytes from `offset` on. Returns fewer at the end of the file, and none
    /// if it does not exist.
    ///
    /// # Errors
    /// When the disk fails.
    fn read_range(&self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, DiskError> {
        let whole = self.read(name)?.unwrap_or_default();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(whole.len());
        let end = start.saturating_add(length).min(whole.len());
        Ok(whole[start..end].to_vec())
    }

    /// Length of the file in bytes; `None` if it does not exist.
    ///
    /// # Errors
    /// When the disk fails.
    fn length(&self, name: &str) -> Result<Option<u64>, DiskError> {
        Ok(self.read(name)?.map(|whole| whole.len() as u64))
    }

    /// Appends to a file, creating it if necessary. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    /// When the disk fails or is full; part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes all appends to the file durable.
    ///
    /// # Errors
    /// When the disk fails. It is then unknown which appends were stored.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;

    /// Replaces the content of the file atomically and durably.
    ///
    /// # Errors
    /// When the disk fails or is full. The old content is then kept.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Like [`Disk::replace`], with the content in parts.
    ///
    /// # Errors
    /// When the disk fails or is full. The old content is then kept.
    fn replace_with_parts(&mut self, name: &str, parts: &[&[u8]]) -> Result<(), DiskError> {
        self.replace(name, &parts.concat())
    }

    /// Writes the first `length` bytes of the file again, atomically and durably, and removes the
    /// rest. `checksum` is their CRC-32C.
    ///
    /// # Errors
    /// When the disk fails or is full, or the file has other content than was read before. The old
    /// file is then kept.
    fn store_again(&mut self, name: &str, length: u64, checksum: u32) -> Result<(), DiskError> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let kept = self.read_range(name, 0, length)?;
        if crc32c::crc32c(&kept) != checksum {
            return Err(DiskError::Corrupt {
                file: name.to_owned(),
                offset: 0,
                problem: CHANGED_CONTENT.to_owned(),
            });
        }
        self.replace(name, &kept)
    }

    /// Removes the file if it exists.
    ///
    /// # Errors
    /// When the disk fails.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;

    /// Lists the names of all files.
    ///
    /// # Errors
    /// When the disk fails.
    fn list(&self) -> Result<Vec<String>, DiskError>;
}

/// Suffix of files that are being written and not renamed yet.
const TEMPORARY_SUFFIX: &str = ".tmp";
const CHANGED_CONTENT: &str = "the content differs from what was read before";
/// Size of the pieces in which a file is copied, in bytes.
const COPY_BYTES: usize = 256 << 10;

/// A folder in the file system.
#[derive(Debug)]
pub struct DirectoryDisk {
    folder: PathBuf,
    /// The file appended to last, kept open.
    open: Option<(String, File)>,
}

impl DirectoryDisk {
    /// Opens a folder, creating it if necessary.
    ///
    /// # Errors
    /// When the folder cannot be created.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        fs::create_dir_all(folder).map_err(|source| DiskError::Io {
            operation: "create",
            file: folder.display().to_string(),
            source,
        })?;
        Ok(Self { folder: folder.to_owned(), open: None })
    }

    /// Replaces the content of a file atomically and durably with what `write` writes.
    fn replace_with(
        &mut self,
        name: &str,
        write: impl FnOnce(&mut File) -> io::Result<()>,
    ) -> Result<(), DiskError> {
        let temporary = self.path(&format!("{name}{TEMPORARY_SUFFIX}"));
        let replace = || {
            let mut file = File::create(&temporary)?;
            write(&mut file)?;
            file.sync_all()?;
            fs::rename(&temporary, self.path(name))
        };
        Self::with_context("replace", name, replace())?;
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        self.sync_folder()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn with_context<T>(
        operation: &'static str,
        name: &str,
        result: io::Result<T>,
    ) -> Result<T, DiskError> {
        result.map_err(|source| DiskError::Io { operation, file: name.to_owned(), source })
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        let synced = File::open(&self.folder).and_then(|folder| folder.sync_all());
        Self::with_context("sync", "data folder", synced)
    }

    fn open_for_append(&mut self, name: &str) -> Result<&mut File, DiskError> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let path = self.path(name);
            let is_new = !path.exists();
            let opened = OpenOptions::new().create(true).append(true).open(path);
            let file = Self::with_context("open", name, opened)?;
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
            Err(error) => Self::with_context("read", name, Err(error)),
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
            result => Self::with_context("read", name, result).map(|_| bytes),
        }
    }

    fn length(&self, name: &str) -> Result<Option<u64>, DiskError> {
        match fs::metadata(self.path(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Self::with_context("look up", name, Err(error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let written = self.open_for_append(name)?.write_all(bytes);
        Self::with_context("append", name, written)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let synced = self.open_for_append(name)?.sync_data();
        Self::with_context("sync", name, synced)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.replace_with_parts(name, &[bytes])
    }

    fn replace_with_parts(&mut self, name: &str, parts: &[&[u8]]) -> Result<(), DiskError> {
        self.replace_with(name, |file| parts.iter().try_for_each(|part| file.write_all(part)))
    }

    fn store_again(&mut self, name: &str, length: u64, checksum: u32) -> Result<(), DiskError> {
        let path = self.path(name);
        self.replace_with(name, |file| {
            let copied = copy_content(&mut File::open(path)?.take(length), file)?;
            // The kernel may have dropped what it did not write, and read the old content again.
            if copied == checksum { Ok(()) } else { Err(io::Error::other(CHANGED_CONTENT)) }
        })
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Self::with_context("remove", name, Err(error))
            }
            _ => Ok(()),
        }
    }

    fn list(&self) -> Result<Vec<String>, DiskError> {
        let entries = Self::with_context("list", "data folder", fs::read_dir(&self.folder))?;
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        Ok(names.filter(|name| !name.ends_with(TEMPORARY_SUFFIX)).collect())
    }
}

/// Copies the content itself, and returns its CRC-32C. [`io::copy`] may let both files share the blocks
/// of the disk.
fn copy_content(from: &mut impl Read, to: &mut impl Write) -> io::Result<u32> {
    let mut buffer = vec![0; COPY_BYTES];
    let mut checksum = 0;
    loop {
        match from.read(&mut buffer) {
            Ok(0) => return Ok(checksum),
            Ok(length) => {
                checksum = crc32c::crc32c_append(checksum, &buffer[..length]);
                to.write_all(&buffer[..length])?;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}
