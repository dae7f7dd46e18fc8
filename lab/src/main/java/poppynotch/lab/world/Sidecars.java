package poppynotch.lab.world;

import java.util.List;
import poppynotch.balancer.Server;

/** Starts sidecars, in whichever way an experiment is played. */
public interface Sidecars {

    /**
     * Where a sidecar stands.
     *
     * @param number its number in the whole world
     * @param place its number among those of its tier
     * @param of how many its tier has
     * @param zone its zone
     * @param tier the tier that it sends to
     * @param seed for its random numbers
     * @param known the list as it last held it
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

    /** A model server's process is there and takes connections; until then it is nowhere. */
    default void opened(ModelServer modelServer) {}

    /** A model server's process is gone, or takes nothing any more. */
    default void closed(ModelServer modelServer) {}
}
