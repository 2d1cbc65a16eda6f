package io.pepperfield.standin;

import io.pepperfield.http.Call;
import io.pepperfield.http.Reply;
import java.util.function.Consumer;

/** The way to the state service, on which answers come late or get lost. */
final class StateLink {

    private final SimWorld world;
    private final StateStandIn state;
    private double slowByS;
    private double slowUntil;
    private double lateShare;
    private double lateUntil;
    private boolean atOnce;

    StateLink(SimWorld world, StateStandIn state) {
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

    void handle(String from, Call call, Consumer<Reply> answer) {
        if (call.path().equals("/txn")
                && world.now() < lateUntil
                && world.random.nextDouble() < lateShare) {
            double after =
                    atOnce
                            ? 0
                            : Trouble.LateWrites.LEAST_S
                                    + world.random.nextDouble()
                                            * (Trouble.LateWrites.MOST_S
                                                    - Trouble.LateWrites.LEAST_S);
            world.after(after, () -> state.handle(from, call, lost -> {}));
        } else if (world.now() < slowUntil) {
            double by = slowByS;
            state.handle(from, call, reply -> world.after(by, () -> answer.accept(reply)));
        } else {
            state.handle(from, call, answer);
        }
    }
}
