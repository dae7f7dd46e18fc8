package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/** A sidecar that is measured. */
public interface MeasuredSidecar extends AutoCloseable {

    /** Starts sidecars; whoever starts one closes it. */
    interface Launcher {

        /**
         * Starts one and waits until it is ready.
         *
         * @param config as the file that GW_CONFIG names is to have it
         * @param observed whether it is to tell of its pauses
         */
        MeasuredSidecar start(ObjectNode config, boolean observed) throws IOException;
    }

    /** Where it listens for callers. */
    InetSocketAddress address();

    /** From its start to its being ready, in seconds. */
    double readySeconds();

    /** The memory that it holds now, in MB; 0 where it is no process. */
    double residentMb();

    /** What its threads have had of the processors so far. */
    ThreadTimes threads();

    /** Its pauses so far, in their order. */
    List<PauseLog.Pause> pauses() throws IOException;

    /** Whether it has not ended by itself. */
    boolean lives();

    /** Ends it. */
    @Override
    void close();
}
