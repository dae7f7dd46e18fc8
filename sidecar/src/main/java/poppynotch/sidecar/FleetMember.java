package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.host.LinkEmulation;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;

/** A sidecar's part in its fleet. Only a configuration with a fleet has this class loaded. */
final class FleetMember {

    /** How soon the others hear that this process serves, or no longer does. */
    private static final int PHASE_MS = 100;

    private static final String UNKNOWN_VERSION = "0";

    /** What the links to other members do to messages, in a trial. */
    interface Links extends LinkEmulation {}

    private final SidecarConfig config;
    private final FleetSettings fleet;

    /** Null where the configuration does not say that it shares. */
    private final FleetSharing sharing;

    /** Null where the configuration names no duties. */
    private final FleetLeases duties;

    private final CompositePayload riders = new CompositePayload();

    /** Null until it takes part. */
    private volatile FleetHost host;

    /**
     * Makes ready to take part. Called on the loop before anything else happens there, so that no
     * list is missed.
     *
     * @throws IllegalArgumentException naming the field that is missing or bad
     */
    FleetMember(SidecarConfig config, Exchange exchange, RateLimitedLog complaints) {
        this.config = config;
        fleet = FleetSettings.of(config.fleet());
        if (!MemberProfile.isWord(config.name())) {
            throw ServerList.bad("name", config.name());
        }
        sharing = fleet.shares() ? new FleetSharing(config, exchange, riders) : null;
        duties =
                fleet.duties().isEmpty()
                        ? null
                        : new FleetLeases(
                                config.name(),
                                fleet,
                                config.seed() - System.nanoTime(),
                                riders,
                                complaints);
        if (duties != null) {
            riders.with(LeaseCodec.LETTER, duties);
        }
    }

    /**
     * Begins to take part.
     *
     * @param door where operators connect, or empty
     * @param phase tells, on the loop, whether this process serves
     */
    void start(EventLoop loop, String door, Supplier<String> phase, RateLimitedLog complaints)
            throws IOException {
        start(loop, door, phase, null, complaints);
    }

    /** The same over emulated links, or over the real ones where {@code links} is null. */
    void start(
            EventLoop loop,
            String door,
            Supplier<String> phase,
            Links links,
            RateLimitedLog complaints)
            throws IOException {
        String own = FleetMember.class.getPackage().getImplementationVersion();
        String version =
                !fleet.version().isEmpty() ? fleet.version() : own == null ? UNKNOWN_VERSION : own;
        // The seed is new with each start, but a second process of an upgrade may be told the same
        // one.
        host =
                FleetHost.start(
                        loop,
                        Sidecar.BUFFERS,
                        fleet,
                        config.name(),
                        new MemberProfile(
                                fleet.zone(),
                                fleet.tier(),
                                version,
                                MemberProfile.Phase.STARTING,
                                door),
                        config.seed() ^ System.nanoTime(),
                        riders,
                        links,
                        complaints::info);
        loop.execute(
                () -> {
                    if (sharing != null) {
                        sharing.start(loop, host);
                    }
                    if (duties != null) {
                        duties.start(loop, host);
                    }
                    loop.scheduleWithFixedDelay(
                            () -> look(MemberProfile.Phase.valueOf(phase.get())),
                            0,
                            PHASE_MS,
                            TimeUnit.MILLISECONDS);
                });
    }

    private void look(MemberProfile.Phase phase) {
        host.phase(phase);
        if (duties != null) {
            duties.serves(phase == MemberProfile.Phase.READY);
        }
    }

    /** Who is present, as one line of JSON; null before it takes part. */
    String members() {
        return host == null ? null : host.members();
    }

    /** The digest of its view, the same for all that see the same members; once it takes part. */
    String viewDigest() {
        return Long.toHexString(host.viewDigest());
    }

    /** How many members it sees present; once it takes part. */
    int present() {
        return host.present();
    }

    /**
     * What it sees, holds and has sent, in numbers: {@code present}, {@code same}, {@code other}
     * (members that told its view, or another), {@code counts} (messages and bytes since the
     * start), {@code rider_bytes_out} (bytes since the start by a kind's letter) and {@code
     * entries} of its state. Once it takes part, on the loop.
     */
    Map<String, Object> figures() {
        MembershipView view = host.view();
        Map<String, Object> entries = new LinkedHashMap<>();
        entries.put("members", view.members().size());
        if (sharing != null) {
            entries.putAll(sharing.entries());
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("present", view.present());
        figures.put("same", view.same());
        figures.put("other", view.other());
        figures.put("counts", host.counts());
        figures.put("rider_bytes_out", riders.sentBytes());
        figures.put("entries", entries);
        return figures;
    }

    /** What is shared, as one line of JSON; null where nothing is. */
    String shared() {
        return sharing == null || host == null ? null : sharing.status();
    }

    /** Which duties it has, as one line of JSON; null where it wants none. */
    String duties() {
        return duties == null || host == null ? null : duties.status();
    }

    /** SIGTERM has come. */
    void leave() {
        if (duties != null && host != null) {
            duties.leave();
        }
        if (host != null) {
            host.leave();
        }
    }
}
