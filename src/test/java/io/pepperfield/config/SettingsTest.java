package io.pepperfield.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the settings readers: good files, and the messages about faulty ones. */
class SettingsTest {

    private static final String GOOD =
            """
            node = "a"
            zone = "east"
            bind = "127.0.0.1:8080"
            peer_listen = "127.0.0.1:8081"
            not_known_yet = { x = 1 }
            [[members]]
            node = "b"
            zone = "west"
            addr = "127.0.0.1:9081"
            [endpoints]
            cloud = "127.0.0.1:1"
            state = "127.0.0.1:2"
            [deployment]
            size = 2
            [[deployment.teams]]
            name = "red"
            cpus = 16.0
            cpus_max = 32.0
            [deployment.workers]
            report_s = 2.5
            lease_s = 12.0
            cancel_s = 37.0
            [deployment.state]
            rps = 150.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 40
            [deployment.cloud]
            rps = 2.0
            list_lag_s = 8.0
            [deployment.quota]
            core_share = 0.34
            mem_mb = 263.0
            sockets = 1200
            """;

    private static String fault(String toml) {
        return assertThrows(
                        SettingsException.class,
                        () -> SettingsReader.parse("f.toml", toml, OperatorSettings.DEFAULTS))
                .getMessage();
    }

    @Test
    void aTeamWhoseLimitIsNoughtHasNone() throws SettingsException {
        String guests =
                GOOD.replace(
                        "[deployment.workers]",
                        """
                [[deployment.teams]]
                name = "guests"
                cpus = 0.0
                cpus_max = 0.0
                [deployment.workers]""");
        // Read as a limit of nothing, every job of theirs would be refused for good.
        assertEquals(
                Double.POSITIVE_INFINITY,
                SettingsReader.parse("f.toml", guests, OperatorSettings.DEFAULTS)
                        .deployment()
                        .teams()
                        .get("guests")
                        .cpuLimit());
    }

    @Test
    void whatTheStateServiceWillAllowLessOfCountsFromTheStart() throws SettingsException {
        String next =
                GOOD.replace(
                        "[deployment.cloud]",
                        "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 13\nrps = 900.0\n[deployment.cloud]");
        Settings.StoreLimits state =
                SettingsReader.parse("f.toml", next, OperatorSettings.DEFAULTS)
                        .deployment()
                        .storeLimits();
        assertEquals(new Settings.StoreLimits(150, 50, 2, 13), state);
        String fault = fault(next.replace("value_kb = 2.0", "value_kb = \"small\""));
        assertTrue(
                fault.contains("deployment.state.next.value_kb = \"small\": want a number from 1"),
                fault);
    }

    @Test
    void readsWhatThePlatformHandsOver() throws SettingsException {
        Settings settings = SettingsReader.parse("f.toml", GOOD, OperatorSettings.DEFAULTS);
        assertEquals(2.5, settings.deployment().workerTimings().heartbeatIntervalS());
        assertEquals(32, settings.deployment().teams().get("red").cpuLimit());
    }

    @Test
    void namesEveryFaultInOneLine() {
        String fault =
                fault(
                        GOOD.replace("lease_s = 12.0", "lease_s = \"long\"")
                                .replace("127.0.0.1:8080", "8080")
                                .replace("txn_ops = 40", ""));
        assertTrue(fault.contains("bind = \"8080\""), fault);
        assertTrue(fault.contains("deployment.workers.lease_s = \"long\""), fault);
        assertTrue(fault.contains("deployment.state.txn_ops is missing"), fault);
        assertEquals(1, fault.lines().count());
        assertTrue(fault("node = ").contains("is not TOML in line 1"));
    }

    private static OperatorSettings xml(String text) throws SettingsException {
        return OperatorSettingsReader.parse("f.xml", text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsOperatorsXmlAndRefusesSlips() throws SettingsException {
        assertEquals(90, xml("<pepperfield><charge-s>90</charge-s></pepperfield>").billingUnitS());
        assertEquals(OperatorSettings.DEFAULTS, xml("<pepperfield/>"));
        assertTrue(
                xml("<pepperfield><rollout>on</rollout></pepperfield>").isEnabled(Feature.ROLLOUT));
        assertFalse(
                xml("<pepperfield><rollout>off</rollout></pepperfield>")
                        .isEnabled(Feature.ROLLOUT));
        assertEquals(
                "f.xml: <rollout> = \"maybe\": want on or off",
                assertThrows(
                                SettingsException.class,
                                () -> xml("<pepperfield><rollout>maybe</rollout></pepperfield>"))
                        .getMessage());
        for (String bad :
                new String[] {
                    "<pepperfield><charge-s>0</charge-s></pepperfield>",
                    "<pepperfield><charge>1</charge></pepperfield>",
                    "<other/>",
                    "<pepperfield>",
                    "<!DOCTYPE x [<!ENTITY e SYSTEM 'file:///etc/passwd'>]><pepperfield/>"
                }) {
            assertThrows(SettingsException.class, () -> xml(bad), bad);
        }
    }

    @Test
    void aQuotaThatIsTooSmallIsNamedAndNothingMore() {
        assertEquals(
                List.of(), QuotaCheck.warnings(new Settings.ProcessQuota(0.34, 263, 1200), 128));
        assertEquals(
                List.of(
                        "deployment.quota.mem_mb = 200, and the process may come to hold 224",
                        "deployment.quota.sockets = 40, and 64 are needed before any worker reports"),
                QuotaCheck.warnings(new Settings.ProcessQuota(0.34, 200, 40), 128));
    }

    @Test
    void admissionIsOffAndItsSlipsAreRefusedWithPlaceAndRange() throws SettingsException {
        assertFalse(OperatorSettings.DEFAULTS.isEnabled(Feature.ADMISSION));
        OperatorSettings on =
                xml(
                        "<pepperfield><admission>on</admission><admission-share>0.4</admission-share>"
                                + "<team-weight team=\"red\">3</team-weight></pepperfield>");
        assertTrue(on.isEnabled(Feature.ADMISSION));
        assertEquals(0.4, on.admission().acceptanceShare());
        assertEquals(3, on.admission().weights().get("red"));
        SettingsReader.parse("f.toml", GOOD, on);
        for (String slip :
                List.of(
                        "<team-weight team=\"red\">-1</team-weight>",
                        "<team-weight team=\"red\">NaN</team-weight>",
                        "<team-weight team=\"red\">much</team-weight>",
                        "<admission-band>0</admission-band>",
                        "<admission-reserve>1.5</admission-reserve>",
                        "<admission-waiting-limit-s>0.5</admission-waiting-limit-s>")) {
            String why =
                    assertThrows(
                                    SettingsException.class,
                                    () -> xml("<pepperfield>" + slip + "</pepperfield>"))
                            .getMessage();
            assertTrue(why.contains("want a number from"), why);
            assertTrue(why.contains(slip.substring(0, slip.indexOf('>'))), why);
        }
        OperatorSettings unknown =
                xml("<pepperfield><team-weight team=\"green\">2</team-weight></pepperfield>");
        String why =
                assertThrows(
                                SettingsException.class,
                                () -> SettingsReader.parse("f.toml", GOOD, unknown))
                        .getMessage();
        assertTrue(why.contains("<team-weight team=\"green\">") && why.contains("red"), why);
    }
}
