package grants

import _ "hemlockquay/internal/fixedseed"
