/** The tests that fill the memory of a host: one at a time, and apart from the other tests. */
export default {
  files: ["dist/platform/uncontrolled_clients/*_test.js"],
  timeout: "300s",
  concurrency: 1,
  serial: true,
  environmentVariables: { TANAGERPIN_LOG_LEVEL: "silent" },
};
