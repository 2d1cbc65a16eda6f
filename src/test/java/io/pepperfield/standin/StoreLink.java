package io.pepperfield.standin;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import java.util.function.Consumer;

/** The way to the state service, on which answers come late or get lost. */
final class StoreLink {

    private final SimWorld world;
    private final StoreStandIn state;
    private double slowByS;
    private double slowUntil;
    private double lateShare;
    private double lateUntil;
    private boolean atOnce;

    StoreLink(SimWorld world, StoreStandIn state) {
        this.world = world;
        this.state = state;
    }

    void slow(double byS, double until) {
        slowByS = byS;
        slowUntil = until;
    }

    /**
     * Until then that share of transactions gets no answer, and is carried out late or, if at once,
     * in its turn.
     */
    void late(double share, double until, boolean carriedOutAtOnce) {
        lateShare = share;
        lateUntil = until;
        atOnce = carriedOutAtOnce;
    }

    void handle(String from, InboundRequest request, Consumer<HttpReply> answer) {
        if (request.path().equals("/txn")
                && world.now() < lateUntil
                && world.random.nextDouble() < lateShare) {
            double after =
                    atOnce
                            ? 0
                            : Fault.DelayedWrites.MIN_DELAY_S
                                    + world.random.nextDouble()
                                            * (Fault.DelayedWrites.MAX_DELAY_S
                                                    - Fault.DelayedWrites.MIN_DELAY_S);
            world.after(after, () -> state.handle(from, request, lost -> {}));
        } else if (world.now() < slowUntil) {
            double by = slowByS;
            state.handle(from, request, reply -> world.after(by, () -> answer.accept(reply)));
        } else {
            state.handle(from, request, answer);
        }
    }
}
