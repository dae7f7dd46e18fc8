package poppynotch.lab.virtual;

import java.util.List;
import java.util.function.BiConsumer;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.Server;
import poppynotch.lab.world.Sidecars.Post;

/** The fleet that virtual sidecars share what they see in. */
public interface Peers {

    /** One sidecar's part in it. */
    interface Peer {

        /** A list has come to the sidecar. */
        void listed(boolean full, List<Server> servers);

        /** A client's call has come. */
        void called(int tenant);

        /** An attempt has ended. */
        void ended(String server, AttemptOutcome outcome);

        /** The sidecar's process has ended without a word. */
        void end();
    }

    /**
     * A sidecar's process takes part.
     *
     * @param advice takes for how many milliseconds an advice is good, and the advice
     */
    Peer join(Post post, BalancerSettings settings, BiConsumer<Double, FleetAdvice> advice);
}
