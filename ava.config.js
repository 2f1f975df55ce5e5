export default {
  files: ["dist/**/*_test.js", "!dist/platform/uncontrolled_clients/**"],
  timeout: "300s",
  concurrency: 6,
  environmentVariables: { TANAGERPIN_LOG_LEVEL: "silent" },
};
