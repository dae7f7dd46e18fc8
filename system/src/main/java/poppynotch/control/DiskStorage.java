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
 * Writes an acceptor's states from a thread of its own, so that a disk that is slow or hangs blocks
 * nothing else. States that wait are written as one: each holds all of the former.
 */
public final class DiskStorage implements AcceptorStorage {

    private static final Logger LOG = LoggerFactory.getLogger(DiskStorage.class);

    /** The disk is checked after so much time without a write. */
    private static final long SCRUB_MS = 10_000;

    private record Write(AcceptorState state, Runnable kept) {}

    private final AcceptorStateStore files;
    private final Executor owner;
    private final BlockingQueue<Write> queue = new LinkedBlockingQueue<>();
    private AcceptorState unwritten;

    /** Starts the thread; {@code owner} runs what follows on a write. */
    public DiskStorage(AcceptorStateStore files, Executor owner) {
        this.files = files;
        this.owner = owner;
        Thread thread = new Thread(this::run, "register-disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void persist(AcceptorState state, Runnable kept) {
        queue.add(new Write(state, kept));
    }

    private void run() {
        List<Write> batch = new ArrayList<>();
        try {
            while (true) {
                Write next = queue.poll(SCRUB_MS, TimeUnit.MILLISECONDS);
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
            if (!files.scrub()) {
                LOG.error("what was on disk was damaged; it is written anew");
            }
        } catch (IOException e) {
            LOG.warn("the disk can't be checked: {}", e.getMessage());
        }
    }

    private void write(List<Write> batch) {
        for (Write write : batch) {
            if (write.state() != null) {
                unwritten = write.state();
            }
        }
        try {
            if (unwritten != null) {
                files.write(unwritten);
                unwritten = null;
            }
            batch.forEach(write -> owner.execute(write.kept()));
        } catch (IOException e) {
            LOG.warn("the register's state can't be written: {}", e.getMessage());
        }
    }
}
