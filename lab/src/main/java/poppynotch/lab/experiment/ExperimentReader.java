package poppynotch.lab.experiment;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;
import poppynotch.lab.experiment.Experiment.Cancel;
import poppynotch.lab.experiment.Experiment.Clients;
import poppynotch.lab.experiment.Experiment.Discovery;
import poppynotch.lab.experiment.Experiment.Front;
import poppynotch.lab.experiment.Experiment.Jam;
import poppynotch.lab.experiment.Experiment.Mode;
import poppynotch.lab.experiment.Experiment.Network;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.experiment.Experiment.Rules;
import poppynotch.lab.experiment.Experiment.Tenant;
import poppynotch.lab.experiment.Experiment.Tier;
import poppynotch.lab.experiment.Experiment.World;

/**
 * Reads experiments from YAML or TOML: those that come with the lab, by name, and files of a user's
 * own.
 */
public final class ExperimentReader {

    private static final double REQUIRED = Double.NaN;
    private static final double UNBOUNDED = 1e9;

    /** An experiment of a day and more is a slip of the unit. */
    private static final double MAX_DURATION_MS = 6 * 3_600_000.0;

    private static final int MAX_MODEL_SERVERS = 20_000;
    private static final ObjectMapper YAML =
            YAMLMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();
    private static final ObjectMapper TOML = new TomlMapper();

    private ExperimentReader() {}

    /** The names of the experiments that come with the lab. */
    public static List<String> shipped() throws IOException {
        try (InputStream index =
                ExperimentReader.class.getResourceAsStream("/experiments/index.txt")) {
            return new String(index.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    /**
     * The file's tree, with some keys replaced; {@code name} is that of a shipped experiment or of
     * a file.
     */
    public static ObjectNode tree(String name, Map<String, String> changes)
            throws IOException, ExperimentErrors {
        JsonNode tree;
        try {
            if (shipped().contains(name)) {
                try (InputStream in =
                        ExperimentReader.class.getResourceAsStream(
                                "/experiments/" + name + ".yaml")) {
                    tree = YAML.readTree(in);
                }
            } else {
                tree =
                        (name.endsWith(".toml") ? TOML : YAML)
                                .readTree(Files.readAllBytes(Path.of(name)));
            }
        } catch (NoSuchFileException e) {
            throw new ExperimentErrors(
                    name,
                    List.of(
                            "is no file and no experiment of the lab's own: "
                                    + String.join(", ", shipped())));
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + " ";
            throw new ExperimentErrors(
                    name,
                    List.of(
                            where
                                    + "cannot be read: "
                                    + e.getOriginalMessage().lines().findFirst().orElse("")));
        }
        if (!(tree instanceof ObjectNode root)) {
            throw new ExperimentErrors(name, List.of("holds no keys"));
        }
        ObjectNode complete = root;
        if (root.path("extends").isTextual()) {
            String base = root.get("extends").asText();
            root.remove("extends");
            complete = merge(tree(resolveBase(name, base), Map.of()), root);
        }
        ObjectNode changed = complete;
        List<String> errors = new ArrayList<>();
        changes.forEach((key, value) -> replace(changed, key, value, errors));
        if (!errors.isEmpty()) {
            throw new ExperimentErrors(name, errors);
        }
        return changed;
    }

    /** What an experiment builds on: a shipped one, or a file that counts from its own folder. */
    private static String resolveBase(String name, String base)
            throws IOException, ExperimentErrors {
        if (base.equals(name)) {
            throw new ExperimentErrors(name, List.of("extends names the file itself"));
        }
        return shipped().contains(base) || shipped().contains(name)
                ? base
                : Path.of(name).resolveSibling(base).toString();
    }

    /**
     * The base with what the other says in its place: groups key by key, everything else is
     * replaced.
     */
    private static ObjectNode merge(ObjectNode base, ObjectNode over) {
        over.fields()
                .forEachRemaining(
                        entry -> {
                            JsonNode before = base.get(entry.getKey());
                            base.set(
                                    entry.getKey(),
                                    before instanceof ObjectNode group
                                                    && entry.getValue() instanceof ObjectNode more
                                            ? merge(group, more)
                                            : entry.getValue());
                        });
        return base;
    }

    /** Puts a value at a key such as {@code world.clients.rate} or {@code troubles[0].for}. */
    private static void replace(ObjectNode root, String key, String value, List<String> errors) {
        JsonNode current = root;
        String[] steps = key.replace("[", ".").replace("]", "").split("\\.");
        for (int i = 0; i < steps.length - 1 && current != null; i++) {
            JsonNode next =
                    current instanceof ArrayNode list && steps[i].matches("\\d{1,4}")
                            ? list.get(Integer.parseInt(steps[i]))
                            : current.get(steps[i]);
            if (next == null && current instanceof ObjectNode group) {
                next = group.putObject(steps[i]);
            }
            current = next;
        }
        String last = steps[steps.length - 1];
        if (current instanceof ObjectNode group) {
            group.set(last, value(value));
        } else {
            errors.add(key + " cannot be set: there is no such key");
        }
    }

    /** A list is written with commas in brackets, as in the file. */
    private static JsonNode value(String text) {
        if (text.startsWith("[") && text.endsWith("]")) {
            ArrayNode list = JsonNodeFactory.instance.arrayNode();
            for (String part : text.substring(1, text.length() - 1).split(",")) {
                list.add(part.trim());
            }
            return list;
        }
        return JsonNodeFactory.instance.textNode(text);
    }

    /** Reads an experiment from a file's tree; all errors of the file are reported at once. */
    public static Experiment read(String file, ObjectNode tree) throws ExperimentErrors {
        List<String> errors = new ArrayList<>();
        Fields root = Fields.root(tree, errors);
        String name = root.text("name", null);
        String about = root.text("about", "");
        Mode mode = root.word("mode", Mode.VIRTUAL, Mode.class);
        double duration = root.figure("duration", Quantity.DURATION, 30_000, 1000, MAX_DURATION_MS);
        List<Long> seeds = root.wholes("seeds", List.of(1L));
        List<String> policies = root.texts("policies", List.of("decide"));
        World world = world(root.group("world"));
        List<FaultInjection> faults =
                root.groups("troubles", fields -> fault(fields, world, duration));
        Map<String, List<String>> sweep = root.lists("sweep");
        root.done();
        if (new HashSet<>(seeds).size() < seeds.size()) {
            root.fault("seeds", "names a seed twice");
        }
        if (!errors.isEmpty()) {
            throw new ExperimentErrors(file, errors);
        }
        return new Experiment(name, about, mode, duration, seeds, policies, world, faults, sweep);
    }

    private static World world(Fields fields) {
        List<String> zones = fields.texts("zones", List.of("a", "b", "c"));
        Network network = network(fields.group("network"));
        int scale = fields.whole("scale", 1, 1, MAX_MODEL_SERVERS);
        int sidecars = scale * fields.whole("sidecars", 3, 1, MAX_MODEL_SERVERS);
        // On the operators' bench real ones took 1.6 to 2.8 s, with a part of a core; with a free
        // core 0.7.
        double startMs = fields.figure("sidecar-start", Quantity.DURATION, 1600, 0, 60_000);
        List<Tier> tiers = fields.groups("tiers", each -> tier(each, scale));
        List<RequestClass> classes = fields.groups("classes", ExperimentReader::requestClass);
        List<Tenant> tenants = fields.groups("tenants", each -> tenant(each, scale));
        Clients clients = clients(fields.group("clients"), scale);
        Fields d = fields.group("discovery");
        Discovery discovery =
                new Discovery(
                        d.range("notice", Quantity.DURATION, new Range(1200, 3000), 0, 60_000),
                        d.range("period", Quantity.DURATION, new Range(170, 1100), 0, 60_000),
                        scale * d.figure("capacity", Quantity.RATE, 200, 0.1, UNBOUNDED),
                        d.figure("timeout", Quantity.DURATION, 2000, 1, 60_000));
        d.done();
        Fields f = fields.group("front");
        Front front =
                new Front(f.range("notice", Quantity.DURATION, new Range(1800, 3700), 0, 60_000));
        f.done();
        Rules rules = rules(fields.group("rules"));
        fields.done();
        requireUniqueNames(fields, "tiers", tiers, Tier::name);
        requireUniqueNames(fields, "classes", classes, RequestClass::name);
        if (!tenants.isEmpty()) {
            requireUniqueNames(fields, "tenants", tenants, Tenant::name);
        }
        return new World(
                zones, network, sidecars, startMs, tiers, classes, tenants, clients, discovery,
                front, rules);
    }

    private static <T> void requireUniqueNames(
            Fields fields, String key, List<T> list, java.util.function.Function<T, String> name) {
        Set<String> names = new HashSet<>();
        for (T one : list) {
            if (!names.add(name.apply(one))) {
                fields.fault(key, "names " + name.apply(one) + " twice");
            }
        }
        if (list.isEmpty()) {
            fields.fault(key, "is missing or empty: one at least is needed");
        }
    }

    private static Network network(Fields fields) {
        Network network =
                new Network(
                        fields.range("same-zone", Quantity.DURATION, new Range(0.1, 0.3), 0, 1000),
                        fields.range("cross-zone", Quantity.DURATION, new Range(2.8, 5.2), 0, 1000),
                        fields.figure("jitter", Quantity.NUMBER, 0.2, 0, 1),
                        fields.figure("handshakes", Quantity.NUMBER, 2, 0, 10),
                        fields.figure("handshake-work", Quantity.DURATION, 2, 0, 1000),
                        fields.figure("dial-timeout", Quantity.DURATION, 120, 1, 60_000),
                        fields.figure("idle-close", Quantity.DURATION, 60_000, 100, 3_600_000));
        fields.done();
        return network;
    }

    private static Tier tier(Fields fields, int scale) {
        Jam jam = null;
        if (fields.has("jam")) {
            Fields j = fields.group("jam");
            jam =
                    new Jam(
                            j.figure("at", Quantity.NUMBER, REQUIRED, 0.1, UNBOUNDED),
                            j.figure("after", Quantity.DURATION, 2000, 1, 600_000),
                            j.figure("factor", Quantity.NUMBER, 2.5, 1, 100),
                            j.figure("below", Quantity.NUMBER, 0.4, 0, UNBOUNDED),
                            j.figure("rest", Quantity.DURATION, 3000, 1, 600_000),
                            j.figure("most", Quantity.DURATION, 20_000, 1, 3_600_000));
            j.done();
        }
        Tier tier =
                new Tier(
                        fields.name(),
                        scale * fields.whole("nodos", (int) Double.NaN, 1, MAX_MODEL_SERVERS),
                        fields.figure("work", Quantity.NUMBER, 1, 0.001, 1),
                        fields.range("calls", Quantity.NUMBER, Range.of(1), 0, 20),
                        fields.whole("cores", 2, 1, 256),
                        fields.range("speed", Quantity.NUMBER, Range.of(1), 0.01, 100),
                        fields.range("slots", Quantity.NUMBER, Range.of(40), 1, 100_000),
                        fields.range("queue", Quantity.NUMBER, Range.of(4), 0, 100_000),
                        fields.figure("crowded-at", Quantity.NUMBER, 0, 0, UNBOUNDED),
                        fields.figure("crowding", Quantity.NUMBER, 0.5, 0, 100),
                        fields.range("cold-share", Quantity.NUMBER, new Range(0.3, 0.6), 0.01, 1),
                        fields.range(
                                "cold-time", Quantity.DURATION, new Range(4000, 8900), 0, 600_000),
                        fields.whole("cell-size", 4, 1, MAX_MODEL_SERVERS),
                        fields.figure("errors", Quantity.NUMBER, 0, 0, 1),
                        fields.whole("connections", 1500, 1, 1_000_000),
                        fields.word("cancel", Cancel.QUEUED, Cancel.class),
                        fields.range(
                                "report-period",
                                Quantity.DURATION,
                                new Range(620, 1500),
                                1,
                                60_000),
                        jam);
        if (!fields.has("nodos")) {
            fields.fault("nodos", "is missing");
        }
        fields.done();
        return tier;
    }

    private static RequestClass requestClass(Fields fields) {
        Idempotency effect = fields.word("effect", Idempotency.REPEATABLE, Idempotency.class);
        RequestClass kind =
                new RequestClass(
                        fields.name(),
                        fields.figure("share", Quantity.NUMBER, 1, 0.0001, 1e6),
                        fields.range("work", Quantity.DURATION, Range.of(REQUIRED), 0.001, 600_000),
                        fields.figure("spread", Quantity.NUMBER, 1, 0, 10),
                        fields.figure("aim", Quantity.DURATION, REQUIRED, 1, 600_000),
                        fields.figure("deadline", Quantity.DURATION, REQUIRED, 1, 600_000),
                        fields.figure("worth", Quantity.NUMBER, 1, 0, UNBOUNDED),
                        effect,
                        fields.word("group", DeduplicationScope.ALL, DeduplicationScope.class),
                        fields.figure(
                                "window",
                                Quantity.DURATION,
                                effect == Idempotency.BY_KEY ? REQUIRED : 0,
                                0,
                                600_000));
        if (kind.latencyTargetMs() > kind.deadlineMs()) {
            fields.fault("aim", "is later than the deadline");
        }
        fields.done();
        return kind;
    }

    private static Tenant tenant(Fields fields, int scale) {
        Tenant tenant =
                new Tenant(
                        fields.name(),
                        fields.figure("share", Quantity.NUMBER, REQUIRED, 0.0001, 1e6),
                        scale
                                * fields.figure(
                                        "allowance", Quantity.RATE, REQUIRED, 0.001, UNBOUNDED));
        fields.done();
        return tenant;
    }

    private static Clients clients(Fields fields, int scale) {
        if (fields.has("rate") == fields.has("load")) {
            fields.fault("rate", "should be given, or load, and not both");
        }
        Clients clients =
                new Clients(
                        fields.has("rate")
                                ? scale * fields.figure("rate", Quantity.RATE, REQUIRED, 0.001, 1e6)
                                : REQUIRED,
                        fields.has("load")
                                ? fields.figure("load", Quantity.NUMBER, REQUIRED, 0.001, 20)
                                : REQUIRED,
                        fields.figure("swing", Quantity.NUMBER, 0, 0, 1),
                        fields.whole("retries", 1, 0, 100),
                        fields.range("backoff", Quantity.DURATION, new Range(50, 400), 0, 60_000),
                        fields.range("patience", Quantity.NUMBER, new Range(0.7, 1), 0.01, 1),
                        fields.figure("honour", Quantity.NUMBER, 0.9, 0, 1));
        fields.done();
        return clients;
    }

    private static Rules rules(Fields fields) {
        Rules rules =
                new Rules(
                        fields.figure("answer-slack", Quantity.DURATION, 20, 0, 10_000),
                        fields.figure("drain-grace", Quantity.DURATION, 250, 0, 60_000),
                        fields.figure("ask-within", Quantity.DURATION, 10_000, 100, 600_000),
                        fields.figure("tip-multiple", Quantity.NUMBER, 4, 0.1, 1000),
                        fields.figure("fall", Quantity.DURATION, 1500, 1, 60_000),
                        fields.whole("tries", 4, 1, 100),
                        fields.figure("max-retry-after", Quantity.DURATION, 1500, 0, 60_000),
                        fields.figure("cross-zone-price", Quantity.NUMBER, 0.0037, 0, 10),
                        fields.figure("waste-price", Quantity.NUMBER, 0.3, 0, 10),
                        fields.figure("late-fail-price", Quantity.NUMBER, 0.05, 0, 10));
        fields.done();
        return rules;
    }

    private static FaultInjection fault(Fields fields, World world, double durationMs) {
        FaultInjection.Kind kind = fields.word("kind", null, FaultInjection.Kind.class);
        boolean wantsZone =
                kind == FaultInjection.Kind.ZONE_LOST || kind == FaultInjection.Kind.ZONE_CUT;
        FaultInjection fault =
                new FaultInjection(
                        kind,
                        fields.figure("at", Quantity.DURATION, REQUIRED, 0, MAX_DURATION_MS),
                        fields.figure("for", Quantity.DURATION, REQUIRED, 1, MAX_DURATION_MS),
                        fields.text("tier", ""),
                        fields.text("zone", wantsZone ? null : ""),
                        fields.figure(
                                "part",
                                Quantity.NUMBER,
                                kind == FaultInjection.Kind.SLOW
                                                || kind == FaultInjection.Kind.RESETS
                                                || kind == FaultInjection.Kind.GARBLED
                                                || kind == FaultInjection.Kind.IMPATIENCE
                                        ? 1
                                        : 0.25,
                                0,
                                1),
                        fields.figure("share", Quantity.NUMBER, 0.5, 0, 1),
                        fields.figure("factor", Quantity.NUMBER, 2, 0.01, 1000),
                        fields.figure("delay", Quantity.DURATION, 1000, 0, 600_000));
        if (!fault.tier().isEmpty() && world.tier(fault.tier()) < 0) {
            fields.fault("tier", "names no tier of this world: " + fault.tier());
        }
        if (!fault.zone().isEmpty() && !world.zones().contains(fault.zone())) {
            fields.fault("zone", "names no zone of this world: " + fault.zone());
        }
        if (fault.atMs() >= durationMs) {
            fields.fault("at", "is after the end of the experiment");
        }
        fields.done();
        return fault;
    }
}
