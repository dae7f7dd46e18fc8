package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/** A running sidecar that is measured. Closing it ends it. */
public interface MeasuredSidecar extends AutoCloseable {

    /** Starts sidecars; the caller closes them. */
    interface Launcher {

        /**
         * Starts one and waits until it is ready.
         *
         * @param config content of the file that GW_CONFIG names
         * @param observed whether it is to log its pauses
         * @throws IOException if it cannot be started or does not become ready
         */
        MeasuredSidecar start(ObjectNode config, boolean observed) throws IOException;
    }

    /** The address for callers. */
    InetSocketAddress address();

    /** Time from its start until it was ready, in seconds. */
    double readySeconds();

    /** Its resident memory now, in MB; 0 where it is no process. */
    double residentMb();

    /** Processor times of its threads until now. */
    ThreadTimes threads();

    /** Its pauses until now, in order; none where it does not log them. */
    List<PauseLog.Pause> pauses() throws IOException;

    /** Whether it has not ended by itself. */
    boolean isAlive();

    /** Ends it. */
    @Override
    void close();
}
