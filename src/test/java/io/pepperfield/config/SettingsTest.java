package io.pepperfield.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the settings readers with valid files, and the messages for invalid files. */
class SettingsTest {

    private static final String VALID =
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

    private static String faultMessage(String toml) {
        return assertThrows(
                        SettingsException.class,
                        () -> SettingsReader.parse("f.toml", toml, OperatorSettings.DEFAULTS))
                .getMessage();
    }

    @Test
    void teamWithLimitZeroIsUnlimited() throws SettingsException {
        String guests =
                VALID.replace(
                        "[deployment.workers]",
                        """
                [[deployment.teams]]
                name = "guests"
                cpus = 0.0
                cpus_max = 0.0
                [deployment.workers]""");
        // With a limit of 0, every job of the team would be refused permanently.
        assertEquals(
                Double.POSITIVE_INFINITY,
                SettingsReader.parse("f.toml", guests, OperatorSettings.DEFAULTS)
                        .deployment()
                        .teams()
                        .get("guests")
                        .cpuLimit());
    }

    @Test
    void lowerFutureStoreLimitsApplyImmediately() throws SettingsException {
        String next =
                VALID.replace(
                        "[deployment.cloud]",
                        "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 13\nrps = 900.0\n[deployment.cloud]");
        Settings.StoreLimits storeLimits =
                SettingsReader.parse("f.toml", next, OperatorSettings.DEFAULTS)
                        .deployment()
                        .storeLimits();
        assertEquals(new Settings.StoreLimits(150, 50, 2, 13), storeLimits);
        String message = faultMessage(next.replace("value_kb = 2.0", "value_kb = \"small\""));
        assertTrue(
                message.contains(
                        "deployment.state.next.value_kb = \"small\": want a number from 1"),
                message);
    }

    @Test
    void readsValidPlatformSettings() throws SettingsException {
        Settings settings = SettingsReader.parse("f.toml", VALID, OperatorSettings.DEFAULTS);
        assertEquals(2.5, settings.deployment().workerTimings().heartbeatIntervalS());
        assertEquals(32, settings.deployment().teams().get("red").cpuLimit());
    }

    @Test
    void listsAllFaultsInOneLine() {
        String message =
                faultMessage(
                        VALID.replace("lease_s = 12.0", "lease_s = \"long\"")
                                .replace("127.0.0.1:8080", "8080")
                                .replace("txn_ops = 40", ""));
        assertTrue(message.contains("bind = \"8080\""), message);
        assertTrue(message.contains("deployment.workers.lease_s = \"long\""), message);
        assertTrue(message.contains("deployment.state.txn_ops is missing"), message);
        assertEquals(1, message.lines().count());
        assertTrue(faultMessage("node = ").contains("is not TOML in line 1"));
    }

    private static OperatorSettings parseXml(String text) throws SettingsException {
        return OperatorSettingsReader.parse("f.xml", text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsOperatorsXmlAndRejectsInvalidFiles() throws SettingsException {
        assertEquals(
                90, parseXml("<pepperfield><charge-s>90</charge-s></pepperfield>").billingUnitS());
        assertEquals(OperatorSettings.DEFAULTS, parseXml("<pepperfield/>"));
        assertTrue(
                parseXml("<pepperfield><rollout>on</rollout></pepperfield>")
                        .isEnabled(Feature.ROLLOUT));
        assertFalse(
                parseXml("<pepperfield><rollout>off</rollout></pepperfield>")
                        .isEnabled(Feature.ROLLOUT));
        assertEquals(
                "f.xml: <rollout> = \"maybe\": want on or off",
                assertThrows(
                                SettingsException.class,
                                () ->
                                        parseXml(
                                                "<pepperfield><rollout>maybe</rollout></pepperfield>"))
                        .getMessage());
        for (String invalid :
                new String[] {
                    "<pepperfield><charge-s>0</charge-s></pepperfield>",
                    "<pepperfield><charge>1</charge></pepperfield>",
                    "<other/>",
                    "<pepperfield>",
                    "<!DOCTYPE x [<!ENTITY e SYSTEM 'file:///etc/passwd'>]><pepperfield/>"
                }) {
            assertThrows(SettingsException.class, () -> parseXml(invalid), invalid);
        }
    }

    @Test
    void warnsOnlyOfQuotasThatAreTooSmall() {
        assertEquals(
                List.of(), QuotaCheck.warnings(new Settings.ProcessQuota(0.34, 263, 1200), 128));
        assertEquals(
                List.of(
                        "deployment.quota.mem_mb = 200 is too small: the process may use up to 224",
                        "deployment.quota.sockets = 40 is too small: 64 are needed before any worker connects"),
                QuotaCheck.warnings(new Settings.ProcessQuota(0.34, 200, 40), 128));
    }

    @Test
    void admissionIsOffByDefaultAndInvalidValuesAreReportedWithElementAndRange()
            throws SettingsException {
        assertFalse(OperatorSettings.DEFAULTS.isEnabled(Feature.ADMISSION));
        OperatorSettings enabled =
                parseXml(
                        "<pepperfield><admission>on</admission><admission-share>0.4</admission-share>"
                                + "<team-weight team=\"red\">3</team-weight></pepperfield>");
        assertTrue(enabled.isEnabled(Feature.ADMISSION));
        assertEquals(0.4, enabled.admission().acceptanceShare());
        assertEquals(3, enabled.admission().weights().get("red"));
        SettingsReader.parse("f.toml", VALID, enabled);
        for (String invalid :
                List.of(
                        "<team-weight team=\"red\">-1</team-weight>",
                        "<team-weight team=\"red\">NaN</team-weight>",
                        "<team-weight team=\"red\">much</team-weight>",
                        "<admission-band>0</admission-band>",
                        "<admission-reserve>1.5</admission-reserve>",
                        "<admission-waiting-limit-s>0.5</admission-waiting-limit-s>")) {
            String message =
                    assertThrows(
                                    SettingsException.class,
                                    () -> parseXml("<pepperfield>" + invalid + "</pepperfield>"))
                            .getMessage();
            assertTrue(message.contains("want a number from"), message);
            assertTrue(message.contains(invalid.substring(0, invalid.indexOf('>'))), message);
        }
        OperatorSettings unknownTeam =
                parseXml("<pepperfield><team-weight team=\"green\">2</team-weight></pepperfield>");
        String message =
                assertThrows(
                                SettingsException.class,
                                () -> SettingsReader.parse("f.toml", VALID, unknownTeam))
                        .getMessage();
        assertTrue(
                message.contains("<team-weight team=\"green\">") && message.contains("red"),
                message);
    }
}
