package poppynotch.lab.socket;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import poppynotch.balancer.Idempotency;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;

/** The requests that callers have sent, by their ids: nodos know by them what comes to them. */
final class Calls {

    private final Experiment experiment;
    private final Map<String, Call> open = new HashMap<>();
    private int strays;
    private String firstStray;

    Calls(Experiment experiment) {
        this.experiment = experiment;
    }

    void put(Call call) {
        open.put(call.id, call);
    }

    /** Forgotten, once nothing of it can come any more. */
    void remove(Call call) {
        open.remove(call.id);
    }

    Call get(String id) {
        return open.get(id);
    }

    HttpMethod method(Call call) {
        return experiment.world().classes().get(call.first.kind).effect() == Idempotency.REPEATABLE
                ? HttpMethod.GET
                : HttpMethod.POST;
    }

    /** What a request says beyond its head; one that is safe to repeat has no body. */
    String body(Call call) {
        return method(call) == HttpMethod.GET ? "" : "{\"for\":\"" + call.id + "\"}";
    }

    /** Whether a request has come to a nodo as its caller sent it. */
    boolean matches(Call call, FullHttpRequest request) {
        return request.method().equals(method(call))
                && request.uri().equals("/api")
                && request.content()
                        .toString(java.nio.charset.StandardCharsets.UTF_8)
                        .equals(body(call))
                && (call.key == null || call.key.equals(request.headers().get("Idempotency-Key")));
    }

    /** A request that no caller sent in this form has reached a nodo. */
    void stray(String id, ModelServer nodo) {
        strays++;
        if (firstStray == null) {
            firstStray = "request " + id + " at nodo " + nodo.id;
        }
    }

    /** What to say of strays, or null where there were none. */
    String strays() {
        return strays == 0
                ? null
                : strays
                        + " requests reached nodos that no caller sent in that form, first "
                        + firstStray;
    }
}
