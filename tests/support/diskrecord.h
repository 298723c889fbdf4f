#pragma once

/**
 * @file
 * Interface between the library that records a disk and RecordedDisk.
 *
 * The record has one line for each event:
 * - `write INODE OFFSET`, before the write;
 * - `sync INODE SIZE`, after the sync of a file that had SIZE bytes when it began;
 * - `rename INODE "FROM" "TO"`, after the rename; INODE is that of the replaced file, zero without one;
 * - `folder "PATH"`, after the sync of a folder.
 *
 * A replaced file is kept beside the record as RECORD.INODE. The files are append-only, so that their content
 * tells the written bytes.
 */
namespace Citronpitch::DiskRecord {

/// Environment variables: the folder to record, by its canonical path; the file of the record; and the time
/// in ms that each sync takes longer.
inline constexpr const char *folderVariable = "CITRONPITCH_DISK_FOLDER";
inline constexpr const char *recordVariable = "CITRONPITCH_DISK_RECORD";
inline constexpr const char *syncDelayVariable = "CITRONPITCH_DISK_SYNC_MS";

} // namespace Citronpitch::DiskRecord
