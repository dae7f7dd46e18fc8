package poppynotch.lab.socket;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Locale;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.world.Sidecars.Placement;

/** Writes the configuration files of sidecar processes from an experiment. Immutable. */
final class SidecarConfig {

    /** Limits of a process, as on the platform's days. */
    private static final int MEMORY_MB = 144;

    private static final int SOCKETS = 1024;

    /** Value of a request beyond its tenant's quota, as a fraction. */
    private static final double OVER_SHARE_VALUE = 0.05;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Experiment experiment;

    SidecarConfig(Experiment experiment) {
        this.experiment = experiment;
    }

    /**
     * The configuration of one process.
     *
     * @param post where it stands
     * @param listen its address for callers
     * @param discovery the address of its discovery
     * @param known the server list that it starts with, in discovery's form
     */
    ObjectNode of(
            Placement post,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            ObjectNode known) {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", "n" + post.number());
        config.put("listen", LoopbackAddresses.format(listen));
        config.put("discovery", LoopbackAddresses.format(discovery));
        config.put("seed", Long.toHexString(post.seed()));
        config.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", MEMORY_MB)
                .put("sockets", SOCKETS);
        config.set("known", known);
        config.set("settings", settings(post));
        return config;
    }

    /** The settings in the form of the simulator's first message. */
    private ObjectNode settings(Placement post) {
        Experiment.World world = experiment.world();
        Experiment.Rules rules = world.rules();
        ObjectNode settings = JSON.createObjectNode();
        settings.set("azs", JSON.valueToTree(world.zones()));
        settings.putArray("models").add(SocketWorld.MODEL);
        addClasses(settings.putArray("classes"), world);
        addTenants(settings.putArray("projects"), world);
        addLimits(settings.putObject("limits"), world);
        addRules(settings.putObject("rules"), rules, world.tiers().get(post.tier()));
        settings.putObject("prices").put("cross-zone", rules.crossZonePrice());
        settings.putObject("load-info")
                .put("how", "piggyback")
                .putArray("columns")
                .add("utilization")
                .add("throughput");
        settings.put("membership-mode", "on_request")
                .put("weight-kind", "nominal")
                .put("over-share-worth", OVER_SHARE_VALUE)
                .put("replicas-of-me", post.sidecarsInTier())
                .put("slot-no", post.position())
                .put("zone", post.zone())
                .put("tier", post.tier());
        ArrayNode layers = settings.putArray("layers");
        world.tiers().forEach(each -> layers.add(each.name()));
        return settings;
    }

    private static void addClasses(ArrayNode classes, Experiment.World world) {
        for (Experiment.RequestClass kind : world.classes()) {
            classes.addObject()
                    .put("name", kind.name())
                    .put("slo-ms", kind.latencyTargetMs())
                    .put("hard-limit-ms", kind.deadlineMs())
                    .put("worth", kind.value())
                    .put("late-worth", 0.0)
                    .put("effect", kind.idempotency().name().toLowerCase(Locale.ROOT))
                    .put("group", kind.deduplicationScope().name().toLowerCase(Locale.ROOT))
                    .put("memory-span-ms", kind.deduplicationWindowMs())
                    .put("stream", false);
        }
    }

    private static void addTenants(ArrayNode tenants, Experiment.World world) {
        for (Experiment.Tenant tenant : world.tenants()) {
            tenants.addObject()
                    .put("name", tenant.name())
                    .put("allowance-per-s", tenant.allowance())
                    .put("share", tenant.share());
        }
    }

    private static void addLimits(ObjectNode limits, Experiment.World world) {
        Experiment.Rules rules = world.rules();
        limits.put("try-limit", rules.maxAttempts())
                .put("parallel-tries", false)
                .put("cancel", true)
                .put("max-retry-after-ms", rules.maxRetryAfterMs())
                .put("retry-after", true)
                .put("dial-timeout-ms", world.network().dialTimeoutMs())
                .put("idle-close-ms", world.network().idleCloseMs())
                .put("multiplex", 1)
                .put("probes", false);
    }

    private static void addRules(ObjectNode node, Experiment.Rules rules, Experiment.Tier tier) {
        node.put("cold-share", tier.initialCapacityFraction().low())
                .put("cold-ms", tier.warmUpMs().high())
                .put("tip-multiple", rules.overloadMultiple())
                .put("fall-ms", rules.overloadWindowMs())
                .put("drain-grace-ms", rules.drainGraceMs())
                .put("ask-within-ms", rules.listRequestWithinMs())
                .put("answer-slack-ms", rules.answerSlackMs());
    }
}
