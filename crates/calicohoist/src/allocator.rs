//! Settings of the allocator of the C library.

/// Size from which a buffer is mapped on its own, and unmapped once it is freed, in bytes.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAP_THRESHOLD_BYTES: libc::c_int = 256 << 10;
/// Free memory at the end of a heap from which it is returned to the kernel, in bytes.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const TRIM_THRESHOLD_BYTES: libc::c_int = 1 << 20;

/// Makes the allocator return freed buffers to the kernel.
///
/// By default glibc raises both thresholds, up to 32 and 64 MiB, whenever a larger buffer is freed.
/// Buffers of megabytes are then taken from the heaps of the threads, which keep them.
pub fn return_freed_buffers() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        let options = [
            (libc::M_MMAP_THRESHOLD, MAP_THRESHOLD_BYTES),
            (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        ];
        for (option, value) in options {
            // SAFETY: the function changes a number under a lock of the allocator.
            #[allow(unsafe_code)]
            let is_set = unsafe { libc::mallopt(option, value) } == 1;
            debug_assert!(is_set, "the option and its value are valid");
        }
    }
}
