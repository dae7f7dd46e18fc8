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

/**
 * A sidecar as a member of its fleet: membership, and if the configuration asks for them the shared
 * state and the leases on singleton roles. This class is loaded only if a fleet is configured.
 *
 * <p>It is owned by {@link Sidecar}. It is created and used on the sidecar's event loop; only
 * {@link #start} may be called from any thread.
 */
final class FleetMember {

    /** How often the phase of this process is checked, to notify the other members of a change. */
    private static final int PHASE_CHECK_INTERVAL_MS = 100;

    private static final String UNKNOWN_VERSION = "0";

    /** Emulated delays and partitions of the links to other members, in a trial. */
    interface Links extends LinkEmulation {}

    private final SidecarConfig config;
    private final FleetSettings settings;

    /** Null if the configuration does not ask for shared state. */
    private final FleetSharing sharing;

    /** Null if the configuration names no singleton roles. */
    private final FleetLeases leases;

    private final CompositePayload payloads = new CompositePayload();

    /** Null until it has joined. */
    private volatile FleetHost host;

    /**
     * Prepares to join. Called on the loop before anything else happens there, so that no list is
     * missed.
     *
     * @throws IllegalArgumentException naming the field that is missing or invalid
     */
    FleetMember(SidecarConfig config, Exchange exchange, RateLimitedLog log) {
        this.config = config;
        settings = readSettings(config);
        sharing = settings.sharesState() ? new FleetSharing(config, exchange, payloads) : null;
        leases =
                settings.wantedLeases().isEmpty()
                        ? null
                        : new FleetLeases(
                                config.name(),
                                settings,
                                config.seed() - System.nanoTime(),
                                payloads,
                                log);
        if (leases != null) {
            payloads.with(LeaseCodec.LETTER, leases);
        }
    }

    /**
     * Checks the configuration's fleet section, which must exist.
     *
     * @throws IllegalArgumentException naming the field that is missing or invalid
     */
    static void validate(SidecarConfig config) {
        readSettings(config);
    }

    private static FleetSettings readSettings(SidecarConfig config) {
        FleetSettings settings = FleetSettings.of(config.fleetSection());
        if (!MemberProfile.isValidName(config.name())) {
            throw ServerList.invalidField("name", config.name());
        }
        return settings;
    }

    /**
     * Joins the fleet.
     *
     * @param adminAddress where operators connect, or empty
     * @param phase returns the name of this process's {@link MemberProfile.Phase}; called on the
     *     loop
     * @throws IOException if the fleet's address cannot be listened on
     */
    void start(EventLoop loop, String adminAddress, Supplier<String> phase, RateLimitedLog log)
            throws IOException {
        start(loop, adminAddress, phase, null, log);
    }

    /** Joins the fleet over emulated links, or over the real ones if {@code links} is null. */
    void start(
            EventLoop loop,
            String adminAddress,
            Supplier<String> phase,
            Links links,
            RateLimitedLog log)
            throws IOException {
        String own = FleetMember.class.getPackage().getImplementationVersion();
        String version =
                !settings.version().isEmpty()
                        ? settings.version()
                        : own == null ? UNKNOWN_VERSION : own;
        // The seed differs at each start, but the second process of an upgrade may get the same
        // one.
        host =
                FleetHost.start(
                        loop,
                        Sidecar.BUFFERS,
                        settings,
                        config.name(),
                        new MemberProfile(
                                settings.zone(),
                                settings.tier(),
                                version,
                                MemberProfile.Phase.STARTING,
                                adminAddress),
                        config.seed() ^ System.nanoTime(),
                        payloads,
                        links,
                        log::info);
        loop.execute(
                () -> {
                    if (sharing != null) {
                        sharing.start(loop, host);
                    }
                    if (leases != null) {
                        leases.start(loop, host);
                    }
                    loop.scheduleWithFixedDelay(
                            () -> publishPhase(MemberProfile.Phase.valueOf(phase.get())),
                            0,
                            PHASE_CHECK_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
                });
    }

    private void publishPhase(MemberProfile.Phase phase) {
        host.setPhase(phase);
        if (leases != null) {
            leases.setServing(phase == MemberProfile.Phase.READY);
        }
    }

    /** The members that are present, as one line of JSON; null before it has joined. */
    String members() {
        return host == null ? null : host.membersJson();
    }

    /**
     * The digest of its view, the same for all members with the same view. Must not be called
     * before it has joined.
     */
    String viewDigest() {
        return Long.toHexString(host.viewDigest());
    }

    /** How many members it sees present. Must not be called before it has joined. */
    int present() {
        return host.presentCount();
    }

    /**
     * Statistics of its view, its state and what it has sent: {@code present}, {@code same}, {@code
     * other} (members that reported its view, or another), {@code counts} (messages and bytes since
     * the start), {@code rider_bytes_out} (bytes since the start, by the letter of the kind) and
     * {@code entries} of its state. Called on the loop, and not before it has joined.
     */
    Map<String, Object> statistics() {
        MembershipView view = host.view();
        Map<String, Object> entries = new LinkedHashMap<>();
        entries.put("members", view.members().size());
        if (sharing != null) {
            entries.putAll(sharing.entryCounts());
        }
        Map<String, Object> statistics = new LinkedHashMap<>();
        statistics.put("present", view.presentCount());
        statistics.put("same", view.matchingViews());
        statistics.put("other", view.differingViews());
        statistics.put("counts", host.counts());
        statistics.put("rider_bytes_out", payloads.sentBytes());
        statistics.put("entries", entries);
        return statistics;
    }

    /** The shared state, as one line of JSON; null if there is none. */
    String sharedState() {
        return sharing == null || host == null ? null : sharing.status();
    }

    /** Its leases, as one line of JSON; null if it wants none. */
    String leases() {
        return leases == null || host == null ? null : leases.status();
    }

    /** Releases the leases and leaves the fleet, as this process ends. */
    void leave() {
        if (leases != null && host != null) {
            leases.leave();
        }
        if (host != null) {
            host.leave();
        }
    }
}
