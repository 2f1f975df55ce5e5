/** The types of the one module of `undici` that is loaded. */
declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}
