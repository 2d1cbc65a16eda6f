package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Call;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.leadership.LeaderClaim;
import io.pepperfield.loop.Loop;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.TransactionLimits;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The rollout of stored-state versions on one controller. All of it runs on the event loop; {@link
 * #attach} completes it before anything else is called.
 */
public final class Rollout {

    /** Where operators ask about the rollout and change it. */
    public static final String PATH = "/api/rollout";

    private final Loop loop;
    private final Settings settings;
    private final StateService raw;
    private final VersionGate gate;
    private final VersionedStateService forms;
    private final MemberRegistry registry;
    private final MemberDeclaration declaration;
    private LeaderClaim claim;
    private RolloutRequests requests;
    private RollbackRewriter rewriter;

    /**
     * @param raw the state service itself
     * @param release what this program reads and writes
     */
    public Rollout(Loop loop, Settings settings, StateService raw, Release release) {
        this.loop = loop;
        this.settings = settings;
        this.raw = raw;
        this.gate = new VersionGate(release);
        this.forms = new VersionedStateService(raw, gate);
        this.registry = new MemberRegistry(settings);
        this.declaration =
                new MemberDeclaration(
                        loop,
                        raw,
                        settings.node(),
                        release,
                        settings.deployment().workers().leaseS());
    }

    /**
     * Completes it.
     *
     * @param lead of this node, which alone changes the version
     * @param jobs gives the description of an accepted job, or null
     */
    public void attach(LeaderClaim lead, Function<String, JobSpec> jobs) {
        claim = lead;
        VersionChanges versions = new VersionChanges(raw, gate, forms, registry, lead);
        requests = new RolloutRequests(gate, forms, registry, versions, lead);
        Settings.State limits = settings.deployment().state();
        rewriter =
                new RollbackRewriter(
                        loop, raw, gate, versions, jobs, limits.txnOps(), limits.writeRps());
    }

    /** The state service for the rest of the program. */
    public StateService state() {
        return forms;
    }

    /** What new behaviour asks. */
    public VersionGate gate() {
        return gate;
    }

    /** What a transaction of the rest of the program may hold. */
    public TransactionLimits limits() {
        return new GatedLimits(settings.deployment().state().txnOps(), gate);
    }

    /** Tasks in a run record of a new job, where the first form has so many. */
    public int linesInRecord(int first) {
        return gate.writesCompactRunRecords() ? CompactRunRecords.LINES_FACTOR * first : first;
    }

    /** The replica's news of a key below {@link Keys#ROLLOUT}. */
    public void changed(String key, JsonNode data, long stamp) {
        if (key.equals(Keys.ROLLOUT_VERSION)) {
            gate.changed(data, stamp);
        } else if (key.startsWith(Keys.ROLLOUT_MEMBER)) {
            String node = key.substring(Keys.ROLLOUT_MEMBER.length());
            registry.changed(node, data, stamp);
            if (node.equals(settings.node())) {
                declaration.changed(data, stamp);
            }
        }
    }

    /** To be called a few times per grant, once the replica is loaded. */
    public void tick() {
        gate.loaded();
        declaration.tick();
        if (gate.serves() && gate.version().phase() == Phase.ROLLING_BACK && claim.confirmed()) {
            rewriter.tick();
        }
    }

    /** An operator's request below {@code /api/rollout}. */
    public void handle(Call call, Consumer<Reply> answer) {
        requests.handle(call, answer);
    }
}
