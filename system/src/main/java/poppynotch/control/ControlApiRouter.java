package poppynotch.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.ConfigReader;
import poppynotch.control.ControlApi.Response;
import poppynotch.numbers.NumberRange;
import poppynotch.rollout.RolloutRequest;
import poppynotch.settings.HostPort;
import poppynotch.transport.HeadText;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Routes a request of the control API to the operation that it asks for: parses it, calls the
 * {@link ControlApi.Service} and turns the result into a response. Malformed requests are answered
 * without a call.
 *
 * <p>Owned by a {@link ControlApi} and called from its event loop. It does not retain requests.
 */
final class ControlApiRouter {

    private static final Logger LOG = LoggerFactory.getLogger(ControlApiRouter.class);

    private static final String CONFIG_PATH = "/poppynotch/config";
    private static final String INSTANCES_PREFIX = "/poppynotch/instances/";
    private static final String ROLLOUTS_PATH = "/poppynotch/rollouts";
    private static final String ROLLOUT_PREFIX = ROLLOUTS_PATH + "/";
    private static final String STATUS_PATH = "/poppynotch/status";
    private static final NumberRange SEQUENCES = NumberRange.of(0, Long.MAX_VALUE);
    private static final String EMPTY_OBJECT = "{}";

    private static final JsonProvider JSON = JsonProvider.provider();

    private final ControlApi.Service service;

    ControlApiRouter(ControlApi.Service service) {
        this.service = service;
    }

    /** Handles a request; {@code callback} is called once, now or later, with its response. */
    void route(FullHttpRequest request, Consumer<Response> callback) {
        if (request.decoderResult().isFailure()) {
            callback.accept(problem(HttpResponseStatus.BAD_REQUEST, "not HTTP"));
            return;
        }
        String uri = request.uri();
        byte[] body = ByteBufUtil.getBytes(request.content());
        if (uri.equals(CONFIG_PATH)) {
            routeConfig(request, body, callback);
        } else if (uri.startsWith(INSTANCES_PREFIX)) {
            routeInstance(
                    request.method(),
                    decodePath(uri.substring(INSTANCES_PREFIX.length())),
                    body,
                    callback);
        } else if (uri.equals(ROLLOUTS_PATH)) {
            routeRolloutOrder(request.method(), body, callback);
        } else if (uri.startsWith(ROLLOUT_PREFIX)) {
            routeRollout(request.method(), uri.substring(ROLLOUT_PREFIX.length()), callback);
        } else if (uri.equals(STATUS_PATH)) {
            callback.accept(Response.of(HttpResponseStatus.OK, service.status()));
        } else {
            callback.accept(problem(HttpResponseStatus.NOT_FOUND, "no such resource"));
        }
    }

    // ---- configuration ----

    private void routeConfig(FullHttpRequest request, byte[] body, Consumer<Response> callback) {
        if (request.method().equals(HttpMethod.GET)) {
            service.readConfig(callback);
        } else if (request.method().equals(HttpMethod.PUT)) {
            changeConfig(ConfigChange.Kind.COMPLETE, request, body, callback);
        } else if (request.method().equals(HttpMethod.PATCH)) {
            changeConfig(ConfigChange.Kind.PATCH, request, body, callback);
        } else {
            callback.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "PUT, PATCH or GET"));
        }
    }

    private void changeConfig(
            ConfigChange.Kind kind,
            FullHttpRequest request,
            byte[] body,
            Consumer<Response> callback) {
        long baseGeneration;
        String match = request.headers().get(HttpHeaderNames.IF_MATCH, "0");
        try {
            baseGeneration = Long.parseLong(match.replace("\"", "").trim());
        } catch (NumberFormatException e) {
            callback.accept(
                    problem(HttpResponseStatus.BAD_REQUEST, "If-Match is no version: " + match));
            return;
        }
        ConfigChange.ParseResult parsed = ConfigChange.parse(kind, baseGeneration, body);
        if (parsed instanceof ConfigChange.ParseResult.Malformed malformed) {
            LOG.info(
                    "Configuration change rejected: kind={}, baseGeneration={}, reason={}",
                    kind,
                    baseGeneration,
                    malformed.reason());
            callback.accept(problem(HttpResponseStatus.BAD_REQUEST, malformed.reason()));
            return;
        }
        service.submitChange(
                ((ConfigChange.ParseResult.Parsed) parsed).change(),
                result -> {
                    LOG.info(
                            "Configuration change ended: kind={}, baseGeneration={}, result={}",
                            kind,
                            baseGeneration,
                            result);
                    callback.accept(responseTo(result));
                });
    }

    private static Response responseTo(OperatorChangeResult result) {
        if (result instanceof OperatorChangeResult.Applied) {
            return Response.of(HttpResponseStatus.OK, EMPTY_OBJECT);
        }
        if (result instanceof OperatorChangeResult.Conflict conflict) {
            return problem(
                    HttpResponseStatus.PRECONDITION_FAILED,
                    "version " + conflict.currentGeneration() + " is current");
        }
        if (result instanceof OperatorChangeResult.Invalid invalid) {
            return problem(HttpResponseStatus.BAD_REQUEST, invalid.reason());
        }
        return problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "no quorum answered in time");
    }

    // ---- rollouts ----

    private void routeRolloutOrder(HttpMethod method, byte[] body, Consumer<Response> callback) {
        if (!method.equals(HttpMethod.POST)) {
            callback.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "POST"));
            return;
        }
        RolloutRequest.ParseResult parsed = RolloutRequest.parse(body);
        if (parsed instanceof RolloutRequest.ParseResult.Malformed malformed) {
            LOG.info("Rollout order rejected: reason={}", malformed.reason());
            callback.accept(problem(HttpResponseStatus.BAD_REQUEST, malformed.reason()));
            return;
        }
        RolloutRequest order = ((RolloutRequest.ParseResult.Parsed) parsed).request();
        service.submitRollout(
                order,
                result -> {
                    LOG.info("Rollout order ended: order={}, result={}", order, result);
                    callback.accept(responseToOrder(result));
                });
    }

    private static Response responseToOrder(OperatorChangeResult result) {
        if (result instanceof OperatorChangeResult.Conflict) {
            return problem(
                    HttpResponseStatus.CONFLICT, "another roll-out of the service is under way");
        }
        if (result instanceof OperatorChangeResult.Invalid invalid) {
            return problem(HttpResponseStatus.UNPROCESSABLE_ENTITY, invalid.reason());
        }
        return responseTo(result);
    }

    private void routeRollout(HttpMethod method, String backend, Consumer<Response> callback) {
        if (!method.equals(HttpMethod.GET)) {
            callback.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET"));
            return;
        }
        service.readRollout(decodePath(backend), result -> callback.accept(responseTo(result)));
    }

    /** A name in a path, which callers may have percent-encoded. */
    private static String decodePath(String encoded) {
        String name = HeadText.decode(encoded);
        try {
            return QueryStringDecoder.decodeComponent(name.replace("+", "%2B"));
        } catch (IllegalArgumentException e) {
            return name;
        }
    }

    private static Response responseTo(RolloutReadResult result) {
        if (result instanceof RolloutReadResult.Found found) {
            return Response.of(
                    HttpResponseStatus.OK,
                    JSON.createObjectBuilder()
                            .add("State", found.rollout().state().wireName())
                            .add("TargetVersion", found.rollout().targetVersion())
                            .build()
                            .toString());
        }
        return result instanceof RolloutReadResult.None
                ? problem(HttpResponseStatus.NOT_FOUND, "no roll-out of this service")
                : problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "no quorum answered in time");
    }

    // ---- model servers ----

    private void routeInstance(
            HttpMethod method, String id, byte[] body, Consumer<Response> callback) {
        if (!HeadText.isEncodable(id)) {
            callback.accept(
                    problem(
                            HttpResponseStatus.BAD_REQUEST,
                            "no header can carry the id: " + HeadText.printable(id)));
            return;
        }
        Consumer<Boolean> onResult = accepted -> callback.accept(responseTo(accepted));
        if (method.equals(HttpMethod.DELETE)) {
            service.deregister(id, onResult);
        } else if (method.equals(HttpMethod.PUT)) {
            register(id, body, onResult, callback);
        } else {
            callback.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "PUT or DELETE"));
        }
    }

    private static Response responseTo(boolean accepted) {
        return accepted
                ? Response.of(HttpResponseStatus.OK, EMPTY_OBJECT)
                : problem(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "out of contact with the other core processes");
    }

    private void register(
            String id, byte[] body, Consumer<Boolean> onResult, Consumer<Response> callback) {
        ServerRecord server;
        try {
            server = parseRegistration(id, ConfigReader.parse(body));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | IllegalArgumentException
                | NullPointerException e) {
            // The JSON library throws one of these for missing keys and values of other types.
            callback.accept(problem(HttpResponseStatus.BAD_REQUEST, "not a registration"));
            return;
        }
        service.register(server, onResult);
    }

    private static ServerRecord parseRegistration(String id, JsonObject body) {
        boolean draining = body.getString("State", "ready").equals("draining");
        // An unusable address is rejected here, instead of failing later at every edge.
        HostPort.parse(body.getString("Address")).socketAddress();
        return new ServerRecord(
                id,
                body.getString("Backend"),
                body.getString("Address"),
                body.getString("Zone", ""),
                (int) numberOr(body, "Slots", NumberRange.COUNT, 1),
                draining ? ServerState.DRAINING : ServerState.READY,
                numberOr(body, "Sequence", SEQUENCES, 0),
                version(body));
    }

    /** A number of a registration, clamped to its range. */
    private static long numberOr(
            JsonObject body, String key, NumberRange range, long defaultValue) {
        return body.containsKey(key)
                ? range.clamp(body.getJsonNumber(key).bigDecimalValue())
                : defaultValue;
    }

    /** The version of a server's software; a number is taken as text, and others as unstated. */
    private static String version(JsonObject body) {
        JsonValue version = body.get("Generation");
        return version instanceof JsonString text
                ? text.getString()
                : version instanceof JsonNumber ? version.toString() : "";
    }

    private static Response problem(HttpResponseStatus status, String reason) {
        return new Response(
                status, ConfigReader.errorBody(reason).getBytes(StandardCharsets.UTF_8));
    }
}
