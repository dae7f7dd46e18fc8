package poppynotch.lab.world;

import java.util.List;
import poppynotch.balancer.Server;

/** Starts sidecars: virtual ones, or processes with sockets. */
public interface Sidecars {

    /**
     * Identity and position of a sidecar.
     *
     * @param number its number in the whole world
     * @param place its position among those of its tier
     * @param of how many sidecars its tier has
     * @param zone its zone
     * @param tier the tier that it sends to
     * @param seed for its random numbers
     * @param known the server list that it starts with
     * @param version that list's version
     */
    record Post(
            int number,
            int place,
            int of,
            int zone,
            int tier,
            long seed,
            List<Server> known,
            long version) {}

    /** Starts one; {@code ready} is called once it can serve. */
    SidecarPort start(Post post, Runnable ready);

    /** A model server's process has started and accepts connections. */
    default void opened(ModelServer modelServer) {}

    /** A model server's process has ended or collapsed. */
    default void closed(ModelServer modelServer) {}
}
