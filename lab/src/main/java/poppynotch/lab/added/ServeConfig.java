package poppynotch.lab.added;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import poppynotch.lab.socket.LoopbackAddresses;

/** Writes the configurations of sidecars as the platform does. Stateless. */
final class ServeConfig {

    /** A call's deadline: far above what is measured, so that no call is abandoned. */
    static final int DEADLINE_MS = 5000;

    private static final int LATENCY_TARGET_MS = 1000;
    private static final int DEDUPLICATION_WINDOW_MS = 10_000;
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final String FLEET_NAME = "added";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ServeConfig() {}

    /**
     * The configuration of a sidecar outside of any fleet.
     *
     * @param servers that it knows at its start
     * @param replicas number of sidecars that call these servers, itself included
     */
    static ObjectNode of(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            List<InetSocketAddress> servers,
            int replicas,
            long seed) {
        ObjectNode config =
                JSON.createObjectNode()
                        .put("name", name)
                        .put("listen", LoopbackAddresses.format(listen))
                        .put("discovery", LoopbackAddresses.format(discovery))
                        .put("seed", Long.toHexString(seed));
        config.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", MEMORY_MB)
                .put("sockets", SOCKETS);
        config.set("known", DiscoveryStandIn.list(servers, true));
        config.set("settings", settings(replicas));
        return config;
    }

    /**
     * Adds a fleet and an admin server.
     *
     * @param own the address for other members
     * @param seed the address of the member by which it joins
     * @param admin the address of the admin server
     */
    static void join(
            ObjectNode config,
            InetSocketAddress own,
            InetSocketAddress seed,
            InetSocketAddress admin) {
        config.put("management", LoopbackAddresses.format(admin));
        config.putObject("fleet")
                .put("name", FLEET_NAME)
                .put("listen", LoopbackAddresses.format(own))
                .put("zone", DiscoveryStandIn.ZONE)
                .put("share", true)
                .putArray("seeds")
                .add(LoopbackAddresses.format(seed));
    }

    private static ObjectNode settings(int replicas) {
        ObjectNode settings = JSON.createObjectNode();
        settings.putArray("azs").add(DiscoveryStandIn.ZONE);
        settings.putArray("models").add(DiscoveryStandIn.KIND);
        settings.putArray("layers").add("one");
        ArrayNode classes = settings.putArray("classes");
        classes.add(kind(CallMix.READ, "repeatable"));
        classes.add(kind(CallMix.ORDER, "by_key"));
        settings.putObject("limits")
                .put("try-limit", 3)
                .put("parallel-tries", false)
                .put("cancel", true)
                .put("max-retry-after-ms", 1000)
                .put("retry-after", true)
                .put("dial-timeout-ms", 200)
                .put("idle-close-ms", 60_000)
                .put("multiplex", 1)
                .put("probes", false);
        settings.putObject("rules")
                .put("cold-share", 0.3)
                .put("cold-ms", 8900)
                .put("tip-multiple", 4.0)
                .put("fall-ms", 1500)
                .put("drain-grace-ms", 250)
                .put("ask-within-ms", 10_000)
                .put("answer-slack-ms", 50);
        settings.putObject("prices").put("cross-zone", 0);
        settings.put("membership-mode", "on_request")
                .put("weight-kind", "nominal")
                .put("over-share-worth", 0.05)
                .put("replicas-of-me", replicas)
                .put("slot-no", 0)
                .put("zone", 0)
                .put("tier", 0);
        return settings;
    }

    private static ObjectNode kind(String name, String effect) {
        return JSON.createObjectNode()
                .put("name", name)
                .put("slo-ms", LATENCY_TARGET_MS)
                .put("hard-limit-ms", DEADLINE_MS)
                .put("worth", 1.0)
                .put("late-worth", 0.0)
                .put("effect", effect)
                .put("group", "all")
                .put("memory-span-ms", DEDUPLICATION_WINDOW_MS)
                .put("stream", false);
    }
}
