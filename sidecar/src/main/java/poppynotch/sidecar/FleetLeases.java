package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;

/**
 * The duties that this sidecar wants: it asks the keepers for them while it serves, and gives them
 * back when it does not. Only a configuration that names duties has this class loaded.
 */
final class FleetLeases implements LeaseClient.Port, PiggybackPayload {

    private static final int ADVANCE_MS = 50;

    private final String name;
    private final FleetSettings config;
    private final RateLimitedLog complaints;
    private final CompositePayload riders;
    private final LeaseClient client;
    private FleetHost host;
    private boolean serves;
    private boolean leaving;
    private long unreadable;

    FleetLeases(
            String name,
            FleetSettings config,
            long seed,
            CompositePayload riders,
            RateLimitedLog complaints) {
        this.name = name;
        this.config = config;
        this.riders = riders;
        this.complaints = complaints;
        SplittableRandom random = new SplittableRandom(seed);
        client =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        name,
                        random.nextLong() >>> 1,
                        config.keepers(),
                        random,
                        this);
    }

    /** Begins, on the loop. */
    void start(EventLoop loop, FleetHost carrier) {
        host = carrier;
        loop.scheduleWithFixedDelay(
                () -> client.advance(host.now()), 0, ADVANCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Only who serves has duties. */
    void serves(boolean now) {
        if (now == serves || leaving) {
            return;
        }
        serves = now;
        config.duties()
                .forEach(
                        (duty, preference) -> {
                            if (serves) {
                                client.want(host.now(), duty, preference);
                            } else {
                                client.unwant(host.now(), duty);
                            }
                        });
    }

    /** SIGTERM has come: duties go back at once. */
    void leave() {
        serves(false);
        leaving = true;
    }

    /** What it has and what it knows, as one line of JSON. */
    String status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("name", name);
        status.put("leader", client.leader());
        status.put("unreadable", unreadable);
        Map<String, Object> duties = new LinkedHashMap<>();
        for (String duty : client.duties()) {
            long token = client.token(host.now(), duty);
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("holder", client.seen(duty).holder());
            one.put("token", Math.max(token, client.seen(duty).token()));
            one.put("mine", token > 0);
            one.put("left_ms", (long) client.leftMs(host.now(), duty));
            duties.put(duty, one);
        }
        status.put("duties", duties);
        return StatusJson.of(status);
    }

    @Override
    public long ask(LeaseClient.Question question) {
        ByteBuffer bytes = LeaseCodec.question(question);
        long sequence =
                host.ask(question.keeper(), CompositePayload.wrapped(LeaseCodec.LETTER, bytes));
        if (sequence >= 0) {
            riders.sent(LeaseCodec.LETTER, bytes);
        }
        return sequence;
    }

    @Override
    public void taken(String duty, long token) {
        complaints.info("fleet: this process has the duty " + duty + ", token " + token);
    }

    @Override
    public void ended(String duty, long token, String why) {
        complaints.info(
                "fleet: this process no longer has the duty "
                        + duty
                        + ", token "
                        + token
                        + ": "
                        + why);
    }

    @Override
    public void told(double now, String from, long sequence, ByteBuffer answer) {
        try {
            client.told(now, sequence, LeaseCodec.answer(answer));
        } catch (IOException e) {
            unreadable++;
        }
    }
}
