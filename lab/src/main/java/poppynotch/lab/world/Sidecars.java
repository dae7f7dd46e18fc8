package poppynotch.lab.world;

import java.util.List;
import poppynotch.balancer.Server;

/** Starts sidecars: virtual ones, or processes with sockets. */
public interface Sidecars {

    /**
     * Identity and position of a sidecar.
     *
     * @param number its number in the whole world
     * @param position its position among those of its tier
     * @param sidecarsInTier how many sidecars its tier has
     * @param zone its zone
     * @param tier the tier that it sends to
     * @param seed for its random numbers
     * @param knownServers the server list that it starts with
     * @param knownVersion that list's version
     */
    record Placement(
            int number,
            int position,
            int sidecarsInTier,
            int zone,
            int tier,
            long seed,
            List<Server> knownServers,
            long knownVersion) {}

    /** Starts one; {@code ready} is called once it can serve. */
    SidecarPort start(Placement post, Runnable ready);

    /** A model server's process has started and accepts connections. */
    default void onServerStarted(ModelServer modelServer) {}

    /** A model server's process has ended or collapsed. */
    default void onServerStopped(ModelServer modelServer) {}
}
