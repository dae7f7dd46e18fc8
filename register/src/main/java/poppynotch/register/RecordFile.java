package poppynotch.register;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * A file of records, each with its length and checksum in front, so that torn and missing writes
 * are detected. Used by one thread at a time; {@link AcceptorStateStore} owns and closes it.
 */
final class RecordFile implements Closeable {

    /** The longest valid record; a longer one is damaged. */
    private static final int MAX_RECORD_BYTES = 32 * 1024 * 1024;

    private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES;

    /**
     * A record that was read from the file.
     *
     * @param content positioned at the start of the record's content
     * @param endPosition offset in the file of the first byte after the record
     */
    record StoredRecord(DataInputStream content, long endPosition) {}

    private final RandomAccessFile file;

    /** Opens {@code path}, and creates an empty file where there is none. */
    RecordFile(Path path) throws IOException {
        file = new RandomAccessFile(path.toFile(), "rw");
    }

    /** The record that begins at {@code position}; empty if there is no complete and valid one. */
    Optional<StoredRecord> read(long position) throws IOException {
        try {
            file.seek(position);
            int length = file.readInt();
            long checksum = file.readLong();
            if (length < 0
                    || length > MAX_RECORD_BYTES
                    || length > file.length() - file.getFilePointer()) {
                return Optional.empty();
            }
            byte[] content = new byte[length];
            file.readFully(content);
            if (checksumOf(content) != checksum) {
                return Optional.empty();
            }
            return Optional.of(
                    new StoredRecord(
                            new DataInputStream(new ByteArrayInputStream(content)),
                            position + HEADER_BYTES + length));
        } catch (EOFException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes a record at {@code position} and forces it to disk.
     *
     * @return offset of the first byte after the record
     */
    long write(long position, byte[] content) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.length + HEADER_BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(content.length);
        out.writeLong(checksumOf(content));
        out.write(content);
        file.seek(position);
        file.write(bytes.toByteArray());
        file.getFD().sync();
        return position + bytes.size();
    }

    /** Truncates the file to zero bytes, without forcing that to disk. */
    void clear() throws IOException {
        file.setLength(0);
    }

    private static long checksumOf(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        // Plus one, so that a header of zeros is not a valid empty record.
        return crc.getValue() + 1;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
