package poppynotch.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorState;
import poppynotch.register.AcceptorStateStore;

/**
 * Persists an acceptor's states on a daemon thread of its own, so that a disk that is slow or hangs
 * blocks nothing else. Of the states that wait only the newest is written, as it supersedes the
 * others.
 *
 * <p>{@link #persist} may be called from any thread. The thread runs until the process ends.
 */
public final class DiskStorage implements AcceptorStorage {

    private static final Logger LOG = LoggerFactory.getLogger(DiskStorage.class);

    /** The files are verified after this time without a write. */
    private static final long SCRUB_INTERVAL_MS = 10_000;

    private record PendingWrite(AcceptorState state, Runnable onPersisted) {}

    private final AcceptorStateStore store;
    private final Executor owner;
    private final BlockingQueue<PendingWrite> queue = new LinkedBlockingQueue<>();

    /** The newest state if it is not on disk yet, else null; used by the storage thread only. */
    private AcceptorState unwritten;

    /** Starts the thread; {@code owner} runs the callbacks of writes. */
    public DiskStorage(AcceptorStateStore store, Executor owner) {
        this.store = store;
        this.owner = owner;
        Thread thread = new Thread(this::run, "register-disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void persist(AcceptorState state, Runnable onPersisted) {
        queue.add(new PendingWrite(state, onPersisted));
    }

    private void run() {
        List<PendingWrite> batch = new ArrayList<>();
        try {
            while (true) {
                PendingWrite next = queue.poll(SCRUB_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (next == null) {
                    scrub();
                    continue;
                }
                batch.add(next);
                queue.drainTo(batch);
                write(List.copyOf(batch));
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void scrub() {
        try {
            if (!store.scrub()) {
                LOG.error("Acceptor state on disk was damaged and has been rewritten");
            }
        } catch (IOException e) {
            LOG.warn("Acceptor state on disk not verified: cause={}", e.getMessage());
        }
    }

    /**
     * Writes the newest state of a batch and runs the batch's callbacks. If the write fails, they
     * are never run, and the state is written with the next batch.
     */
    private void write(List<PendingWrite> batch) {
        for (PendingWrite write : batch) {
            if (write.state() != null) {
                unwritten = write.state();
            }
        }
        try {
            if (unwritten != null) {
                store.write(unwritten);
                unwritten = null;
            }
            batch.forEach(write -> owner.execute(write.onPersisted()));
        } catch (IOException e) {
            LOG.warn(
                    "Acceptor state not persisted: promised={}, accepted={}, writes={}, cause={}",
                    unwritten.promised(),
                    unwritten.accepted(),
                    batch.size(),
                    e.getMessage());
        }
    }
}
