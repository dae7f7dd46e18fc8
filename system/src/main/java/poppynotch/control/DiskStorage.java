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
import poppynotch.register.StateStore;

/**
 * Persists the states of a {@link StateStore} on a daemon thread of its own, so that a disk that is
 * slow or hangs blocks nothing else. Of the states that wait only the newest is written, as it
 * supersedes the others.
 *
 * <p>{@link #persist} may be called from any thread. The thread runs until the process ends.
 *
 * @param <S> the type of the states
 */
public final class DiskStorage<S> implements StateStorage<S> {

    private static final Logger LOG = LoggerFactory.getLogger(DiskStorage.class);

    /** The files are verified after this time without a write. */
    private static final long SCRUB_INTERVAL_MS = 10_000;

    private record PendingWrite<S>(S state, Runnable onPersisted) {}

    private final String name;
    private final StateStore<S> store;
    private final Executor owner;
    private final BlockingQueue<PendingWrite<S>> queue = new LinkedBlockingQueue<>();

    /** The newest state if it is not on disk yet, else null; used by the storage thread only. */
    private S unwritten;

    /**
     * Starts the thread.
     *
     * @param name what is stored, for the log and the name of the thread
     * @param owner runs the callbacks of writes
     */
    public DiskStorage(String name, StateStore<S> store, Executor owner) {
        this.name = name;
        this.store = store;
        this.owner = owner;
        Thread thread = new Thread(this::run, name + "-disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void persist(S state, Runnable onPersisted) {
        queue.add(new PendingWrite<>(state, onPersisted));
    }

    private void run() {
        List<PendingWrite<S>> batch = new ArrayList<>();
        try {
            while (true) {
                PendingWrite<S> next = queue.poll(SCRUB_INTERVAL_MS, TimeUnit.MILLISECONDS);
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
                LOG.error("State on disk was damaged and has been rewritten: state={}", name);
            }
        } catch (IOException e) {
            LOG.warn("State on disk not verified: state={}, cause={}", name, e.getMessage());
        }
    }

    /**
     * Writes the newest state of a batch and runs the batch's callbacks. If the write fails, they
     * are never run, and the state is written with the next batch.
     */
    private void write(List<PendingWrite<S>> batch) {
        for (PendingWrite<S> write : batch) {
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
                    "State not persisted: state={}, writes={}, cause={}",
                    name,
                    batch.size(),
                    e.getMessage());
        }
    }
}
