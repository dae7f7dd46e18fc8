package poppynotch.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.StateStore;
import poppynotch.register.TwoSlotFile;
import poppynotch.wire.Message;
import poppynotch.wire.MessageCodec;
import poppynotch.wire.ServerRecord;

/**
 * The servers that drain or have left, on disk. They are stored as an encoded {@link
 * Message.RegistrySnapshot} in the files {@code departures-0} and {@code departures-1}; versions of
 * the software that do not know these files ignore them.
 *
 * <p>All methods block on the disk and must be called by one thread at a time; {@link #read} once
 * before the first {@link #write}. The owner closes the store.
 */
public final class DepartureStore implements StateStore<List<ServerRecord>>, Closeable {

    private static final Logger LOG = LoggerFactory.getLogger(DepartureStore.class);

    private static final String FILE_NAME = "departures";

    private final TwoSlotFile file;

    /** Creates the store of a replica whose files are in {@code folder}. */
    public DepartureStore(Path folder) {
        file = new TwoSlotFile(folder, FILE_NAME);
    }

    /** Reads the servers that were written last; none if there are none or they are unreadable. */
    public List<ServerRecord> read() throws IOException {
        Optional<byte[]> stored = file.read();
        if (stored.isEmpty()) {
            return List.of();
        }
        try {
            if (MessageCodec.decode(stored.get()) instanceof Message.RegistrySnapshot snapshot) {
                return snapshot.servers();
            }
            LOG.error("Departures on disk ignored: cause=not a list of servers");
        } catch (IOException e) {
            // The checksum is right, so that another version of the software has written them.
            LOG.error("Departures on disk ignored, not readable: cause={}", e.getMessage());
        }
        return List.of();
    }

    @Override
    public void write(List<ServerRecord> departures) throws IOException {
        file.write(MessageCodec.encode(new Message.RegistrySnapshot(false, departures)));
    }

    @Override
    public boolean scrub() throws IOException {
        return file.scrub();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
