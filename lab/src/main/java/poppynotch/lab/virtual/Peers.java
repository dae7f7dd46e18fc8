package poppynotch.lab.virtual;

import java.util.List;
import java.util.function.BiConsumer;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.Server;
import poppynotch.lab.world.Sidecars.Placement;

/** The fleet in which virtual sidecars share their observations. Called on the day's thread. */
public interface Peers {

    /** One sidecar's membership in the fleet. */
    interface Peer {

        /** The sidecar got a server list. */
        void onServerList(boolean full, List<Server> servers);

        /** A client's call arrived. */
        void onCall(int tenant);

        /** An attempt has ended. */
        void onAttemptEnded(String server, AttemptOutcome outcome);

        /** The sidecar's process was killed. */
        void onProcessKilled();
    }

    /**
     * Adds a sidecar to the fleet.
     *
     * @param advice called with each advice and the milliseconds for which it is valid
     */
    Peer join(Placement post, BalancerSettings settings, BiConsumer<Double, FleetAdvice> advice);
}
