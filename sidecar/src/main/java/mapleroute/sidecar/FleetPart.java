package mapleroute.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import mapleroute.fleet.host.FleetConfig;
import mapleroute.fleet.host.FleetHost;
import mapleroute.fleet.member.Profile;

/** A sidecar's part in its fleet. Only a configuration with a fleet has this class loaded. */
final class FleetPart {

    /** How soon the others hear that this process serves, or no longer does. */
    private static final int PHASE_MS = 100;
    private static final String UNKNOWN_VERSION = "0";

    private final FleetHost host;

    private FleetPart(FleetHost host) {
        this.host = host;
    }

    /**
     * Begins to take part.
     *
     * @param door where operators connect, or empty
     * @param phase tells, on the loop, whether this process serves
     */
    static FleetPart start(EventLoop loop, SidecarConfig config, String door, Supplier<String> phase,
            Complaints complaints) throws IOException {
        FleetConfig fleet = FleetConfig.of(config.fleet());
        if (!Profile.isWord(config.name())) {
            throw ServerList.bad("name", config.name());
        }
        String own = FleetPart.class.getPackage().getImplementationVersion();
        String version = !fleet.version().isEmpty() ? fleet.version() : own == null ? UNKNOWN_VERSION : own;
        // The seed is new with each start, but a second process of an upgrade may be told the same one.
        FleetHost host = FleetHost.start(loop, Sidecar.BUFFERS, fleet, config.name(),
            new Profile(fleet.zone(), fleet.tier(), version, Profile.Phase.STARTING, door),
            config.seed() ^ System.nanoTime(), complaints::say);
        loop.scheduleWithFixedDelay(() -> host.phase(Profile.Phase.valueOf(phase.get())), 0, PHASE_MS,
            TimeUnit.MILLISECONDS);
        return new FleetPart(host);
    }

    String members() {
        return host.members();
    }

    /** SIGTERM has come. */
    void leave() {
        host.leave();
    }
}
